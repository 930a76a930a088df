#include "Relay/TargetReach.h"

#include <algorithm>

namespace anvil {

bool TargetReach::recordLost(const std::string &Target,
                             std::int64_t Incarnation, TimePoint Now) {
  auto [Found, IsNew] =
      Lost_.try_emplace(Target, LostTarget{Incarnation, Now, {}});
  bool IsChange = IsNew || Found->second.Incarnation_ != Incarnation;
  if (IsChange)
    Found->second = {Incarnation, Now, ReachState::Seeking};
  return IsChange;
}

void TargetReach::setState(const std::string &Target, std::int64_t Incarnation,
                           ReachState State) {
  auto Found = Lost_.find(Target);
  if (Found != Lost_.end() && Found->second.Incarnation_ == Incarnation)
    Found->second.State_ = State;
}

void TargetReach::recordRelayed(const std::string &Target,
                                std::int64_t Incarnation) {
  setState(Target, Incarnation, ReachState::Relayed);
}

void TargetReach::recordUnreachable(const std::string &Target,
                                    std::int64_t Incarnation) {
  setState(Target, Incarnation, ReachState::Unreachable);
}

void TargetReach::recordSeeking(const std::string &Target,
                                std::int64_t Incarnation) {
  setState(Target, Incarnation, ReachState::Seeking);
}

std::optional<Duration> TargetReach::recordRegained(const std::string &Target,
                                                    std::int64_t Incarnation,
                                                    TimePoint Now) {
  auto Found = Lost_.find(Target);
  if (Found == Lost_.end() || Found->second.Incarnation_ != Incarnation)
    return std::nullopt;
  Duration LostFor = Now - Found->second.Since_;
  Lost_.erase(Found);
  return LostFor;
}

ReachState TargetReach::stateOf(const std::string &Target,
                                std::int64_t Incarnation) const {
  auto Found = Lost_.find(Target);
  bool IsLost =
      Found != Lost_.end() && Found->second.Incarnation_ == Incarnation;
  return IsLost ? Found->second.State_ : ReachState::Direct;
}

std::size_t TargetReach::relayedTargets() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Lost_, [](const auto &Entry) {
        return Entry.second.State_ == ReachState::Relayed;
      }));
}

} // namespace anvil
