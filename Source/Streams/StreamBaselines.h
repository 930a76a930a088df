#ifndef ANVIL_STREAMS_STREAMBASELINES_H
#define ANVIL_STREAMS_STREAMBASELINES_H

#include "Streams/ListedVersions.h"
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
  /// The maximum age of the copy from which the store is restored; the
  /// platform's documentation says some seconds.
  Duration MaxCopyAge_ = std::chrono::seconds(30);
  /// The time from the start of an era until the list shows all targets that
  /// run; the platform's documentation says about two seconds.
  Duration RelistTime_ = std::chrono::milliseconds(2200);
  /// How long a VM that doesn't know the earlier era's baseline leaves the
  /// first row of an era to those that do.
  Duration FirstRowWait_ = std::chrono::seconds(5);
};

/// Decides which streams need a record and when a service gets another
/// baseline. A baseline changes only after it was closed for as long as any VM,
/// in touch or not, may still begin streams without a record and any such
/// stream may be taken up again. In a new era of the store it goes on where no
/// record can have been lost with the earlier one, since all targets had its
/// version.
class StreamBaselines {
public:
  explicit StreamBaselines(StreamBaselineOptions Options = {})
      : Options_(Options) {}

  /// Applies all rows as read by a request that was sent at `SentAt`.
  void applyRows(const std::vector<StreamBaseline> &Rows, TimePoint SentAt,
                 TimePoint Now);

  /// Starts an era of the store, in which no row is known yet.
  void beginEra(TimePoint Now);

  /// The versions that the list of targets has shown, leaving targets included.
  ListedVersions &listed() { return Listed_; }

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
  /// system no stream can have begun before. The first row of a later era is
  /// left to VMs that know what the earlier one showed.
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

  /// An open baseline of an earlier era.
  struct Earlier {
    std::string Version_;
    TimePoint ConfirmedAt_{};
  };

  /// The first row of a service in this era, if it is due.
  std::optional<StreamBaseline> dueFirst(const std::string &Service,
                                         const std::string &MostUsable,
                                         bool IsFirstSystemStart,
                                         TimePoint Now) const;

  StreamBaselineOptions Options_;
  std::map<std::string, Known> Services_;
  std::optional<TimePoint> ConfirmedAt_;
  ListedVersions Listed_;
  /// When the present era was first seen, if the store names one.
  std::optional<TimePoint> EraSeenAt_;
  std::map<std::string, Earlier> Earlier_;
};

} // namespace anvil

#endif // ANVIL_STREAMS_STREAMBASELINES_H
