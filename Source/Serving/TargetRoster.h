#ifndef ANVIL_SERVING_TARGETROSTER_H
#define ANVIL_SERVING_TARGETROSTER_H

#include "Serving/Target.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// How long the roster tolerates lapsed entries.
struct TargetRosterOptions {
  /// How long after the recovery of the list the lapsed entries of running
  /// targets may be missing; the platform's documentation gives 2 s.
  Duration LapseGrace_ = std::chrono::milliseconds(2200);
  /// For how long the list may show an entry from before a target's restart, or
  /// from before its removal if the list is restored from a copy. A target
  /// writes its entry every second or so, and that of one that is silent is
  /// removed.
  Duration MaxOutdatedTime_ = std::chrono::seconds(10);
  /// For how long the list must have been unknown before entries may have
  /// lapsed: a target that can't write its entry for less keeps it.
  Duration MinOutage_ = std::chrono::seconds(2);
};

/// The usability of a target for new requests.
enum class TargetUsability { Usable, Lapsed, Draining, Unlisted };

inline constexpr std::pair<TargetUsability, std::string_view>
    TargetUsabilityNames[] = {
        {TargetUsability::Usable, "usable"},
        {TargetUsability::Lapsed, "lapsed"},
        {TargetUsability::Draining, "draining"},
        {TargetUsability::Unlisted, "gone"},
};

/// The stable name of a usability, for logs.
std::string_view targetUsabilityName(TargetUsability Usability);

/// Whether a target in that state may get new requests.
inline bool mayGetRequests(TargetUsability Usability) {
  return Usability == TargetUsability::Usable ||
         Usability == TargetUsability::Lapsed;
}

/// A target as the platform's list shows it.
struct ListedTarget {
  RegisteredTarget Entry_;
  TargetUsability Usability_ = TargetUsability::Usable;
  /// When the target was last seen in the list.
  TimePoint SeenAt_{};
  /// When its present incarnation was first seen, if an earlier one is known.
  std::optional<TimePoint> RestartedAt_;
  /// Whether its present incarnation was reported as leaving, which is final.
  bool IsLeaving_ = false;
  /// Until when an entry of its present incarnation may come from a copy of the
  /// list that is older than the removal that was seen, if one may.
  std::optional<TimePoint> RemovedUntil_;
  /// Since when the list has shown an entry that looks older, if it does.
  std::optional<TimePoint> OutdatedSince_;
};

/// A change in this VM's view of a target.
struct RosterChange {
  std::string Id_;
  TargetUsability Usability_ = TargetUsability::Usable;
  /// Whether the target has a new incarnation.
  bool NewIncarnation_ = false;
};

/// Tracks the platform's list of targets and decides which targets may get new
/// requests when entries vanish. Covers releases and outages of the list,
/// during which entries lapse although their targets run.
class TargetRoster {
public:
  explicit TargetRoster(TargetRosterOptions Options = {}) : Options_(Options) {}

  /// Applies the whole list as read at `Now`. Returns the changes.
  std::vector<RosterChange> applyList(std::vector<RegisteredTarget> Listed,
                                      TimePoint Now);

  /// Records that this VM could not read the list. That is no outage if
  /// another VM could.
  void recordListOutage() { ListUnavailable_ = true; }

  /// Records that the list is another one from now on, in which the entries of
  /// running targets may be missing, and removed ones are listed again.
  void recordListRestored() { ListRestored_ = true; }

  /// Extends the time in which missing entries may only have lapsed, as
  /// reported by another VM, unless the list was known here all the while.
  void extendLapse(Duration Remaining, TimePoint Now);

  /// Ends the lapses whose time has passed. Returns the changes.
  std::vector<RosterChange> endLapses(TimePoint Now);

  /// How much longer missing entries may only have lapsed.
  Duration lapseRemaining(TimePoint Now) const {
    return std::max(Duration::zero(),
                    std::chrono::duration_cast<Duration>(LapseUntil_ - Now));
  }

  /// Records that another VM saw the target leaving. Returns whether this is
  /// new.
  bool recordLeaving(const std::string &Id, std::int64_t Incarnation);

  /// The target, or null.
  const ListedTarget *find(const std::string &Id) const;

  /// The targets of a service that may get requests, lapsed ones included.
  std::vector<const ListedTarget *> usable(const std::string &Service) const;

  const std::map<std::string, ListedTarget> &all() const { return Targets_; }

  /// The time since the list was read; nothing before the first read.
  std::optional<Duration> age(TimePoint Now) const;

private:
  /// Applies that the list comes from an older copy.
  void recordRemoved(TimePoint Now);
  /// Whether the list was unknown for so long that entries may have lapsed.
  bool wasUnknown(TimePoint Now) const;

  TargetRosterOptions Options_;
  std::map<std::string, ListedTarget> Targets_;
  std::optional<TimePoint> ReadAt_;
  bool ListUnavailable_ = false;
  bool ListRestored_ = false;
  /// Until when a missing entry may only have lapsed.
  TimePoint LapseUntil_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGETROSTER_H
