#ifndef ANVIL_STREAMS_STREAMBASELINES_H
#define ANVIL_STREAMS_STREAMBASELINES_H

#include "Streams/StreamOrigin.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// Whether streams may begin at a service's baseline without a record.
enum class BaselineStage { Open, Closing };

inline constexpr std::pair<BaselineStage, std::string_view>
    BaselineStageNames[] = {
        {BaselineStage::Open, "open"},
        {BaselineStage::Closing, "closing"},
};

/// A service's baseline: the software version at which every stream without a
/// record began. All VMs share it by a row of the store.
struct StreamBaseline {
  std::string Service_;
  /// Nothing if streams without a record may have begun at any version.
  std::optional<std::string> Version_;
  BaselineStage Stage_ = BaselineStage::Closing;
  /// The version of its row; zero if there is none yet.
  std::uint64_t RowVersion_ = 0;
};

struct StreamBaselineOptions {
  /// For how long after a confirmation of an open baseline a VM may begin
  /// streams without a record. A store outage that lasts longer stops new
  /// resumable streams; a change of the baseline takes this time at least.
  Duration Lease_ = std::chrono::seconds(120);
  /// Streams whose callers wait longer are always recorded.
  Duration MaxUnrecordedTime_ = std::chrono::seconds(60);
  /// For how long no target of the baseline is usable before it is closed.
  Duration UnusedTime_ = std::chrono::seconds(5);
};

/// Decides which streams need a record and when a service gets another
/// baseline. A baseline changes only after it was closed for as long as any VM,
/// in touch or not, may still begin streams without a record and any such
/// stream may be taken up again.
class StreamBaselines {
public:
  explicit StreamBaselines(StreamBaselineOptions Options = {})
      : Options_(Options) {}

  /// Applies all rows as read by a request that was sent at `SentAt`.
  void applyRows(const std::vector<StreamBaseline> &Rows, TimePoint SentAt,
                 TimePoint Now);

  /// Forgets everything, as in a new era of the store.
  void clear();

  /// When the rows were last confirmed; nothing before the first read.
  std::optional<TimePoint> confirmedAt() const { return ConfirmedAt_; }

  /// Whether the service's row is known.
  bool isKnown(const std::string &Service) const {
    return Services_.contains(Service);
  }

  /// The version at which streams without a record began; nothing if unknown.
  std::optional<std::string> versionOf(const std::string &Service) const;

  /// Whether a stream may begin now without a record. `CallerWait` is how long
  /// its caller may take it up again.
  bool mayBeginUnrecorded(const StreamOrigin &Origin, Duration CallerWait,
                          TimePoint Now) const;

  /// The change that the service's row needs now, if any, to be committed on
  /// the condition that the row still has `RowVersion_`. `Usable` counts the
  /// service's usable targets by version. On the first start of the whole
  /// system no stream can have begun before.
  std::optional<StreamBaseline>
  dueChange(const std::string &Service,
            const std::map<std::string, std::size_t> &Usable,
            bool IsFirstSystemStart, TimePoint Now);

private:
  struct Known {
    StreamBaseline Row_;
    /// When the row was first seen as it is.
    TimePoint SeenAt_{};
    /// Since when no target of the version has been usable.
    std::optional<TimePoint> UnusedSince_;
  };

  StreamBaselineOptions Options_;
  std::map<std::string, Known> Services_;
  std::optional<TimePoint> ConfirmedAt_;
};

} // namespace anvil

#endif // ANVIL_STREAMS_STREAMBASELINES_H
