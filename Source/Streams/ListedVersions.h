#ifndef ANVIL_STREAMS_LISTEDVERSIONS_H
#define ANVIL_STREAMS_LISTEDVERSIONS_H

#include "Kernel/Clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// What the list of targets has shown of a service's software versions.
enum class ListedEvidence {
  /// No version but the one asked about.
  Only,
  /// Another version.
  Others,
  /// The list wasn't followed all the while.
  Unknown,
};

inline constexpr std::pair<ListedEvidence, std::string_view>
    ListedEvidenceNames[] = {
        {ListedEvidence::Only, "only"},
        {ListedEvidence::Others, "others"},
        {ListedEvidence::Unknown, "unknown"},
};

/// The software versions that the list of targets has shown to this VM, by
/// service.
class ListedVersions {
public:
  /// Records that the list was read. On the first start of the whole system no
  /// target can have been listed before.
  void recordRead(TimePoint Now, bool IsFirstSystemStart = false);

  /// Records that an entry of a service's target named a version when the list
  /// was read at `SeenAt`.
  void record(const std::string &Service, const std::string &Version,
              TimePoint SeenAt);

  /// What the list has shown from a time until its last read.
  ListedEvidence evidenceSince(TimePoint Since, const std::string &Service,
                               const std::string &Version) const;

  /// When the list was last read; nothing before the first time.
  std::optional<TimePoint> readAt() const { return ReadAt_; }

private:
  std::optional<TimePoint> ReadAt_;
  /// Since when the list has been read again and again.
  TimePoint FollowedSince_{};
  /// When a version was last listed, by service and version.
  std::map<std::string, std::map<std::string, TimePoint>> SeenAt_;
};

} // namespace anvil

#endif // ANVIL_STREAMS_LISTEDVERSIONS_H
