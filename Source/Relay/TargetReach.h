#ifndef ANVIL_RELAY_TARGETREACH_H
#define ANVIL_RELAY_TARGETREACH_H

#include "Kernel/Clock.h"
#include "Relay/ReachState.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvil {

/// Tracks which targets this VM reaches, and how. A target that it can't
/// connect to has crashed if no other VM connects to it either; otherwise this
/// VM is cut off from the target, which then serves through those VMs.
class TargetReach {
public:
  /// Records that a target can't be connected to. Returns whether that is new;
  /// other VMs should then be asked.
  bool recordLost(const std::string &Target, std::int64_t Incarnation,
                  TimePoint Now);

  /// Records that another VM connects to a lost target.
  void recordRelayed(const std::string &Target, std::int64_t Incarnation);

  /// Records that no VM that was asked connects to a lost target.
  void recordUnreachable(const std::string &Target, std::int64_t Incarnation);

  /// Records that other VMs are asked again about a lost target.
  void recordSeeking(const std::string &Target, std::int64_t Incarnation);

  /// Records that a target can be connected to. Returns for how long it was
  /// lost, if it was.
  std::optional<Duration> recordRegained(const std::string &Target,
                                         std::int64_t Incarnation,
                                         TimePoint Now);

  /// Targets that aren't lost, and further incarnations of lost ones, count as
  /// reached directly.
  ReachState stateOf(const std::string &Target, std::int64_t Incarnation) const;

  /// The number of targets that are lost, and of those that are reached through
  /// other VMs.
  std::size_t lostTargets() const { return Lost_.size(); }
  std::size_t relayedTargets() const;

private:
  struct LostTarget {
    std::int64_t Incarnation_ = 0;
    TimePoint Since_{};
    ReachState State_ = ReachState::Seeking;
  };

  void setState(const std::string &Target, std::int64_t Incarnation,
                ReachState State);

  std::map<std::string, LostTarget> Lost_;
};

} // namespace anvil

#endif // ANVIL_RELAY_TARGETREACH_H
