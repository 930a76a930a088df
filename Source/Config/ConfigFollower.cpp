#include "Config/ConfigFollower.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

ConfigFollower::ConfigFollower(Duration FirstWait, TimePoint Started)
    : FirstWait_(FirstWait), Started_(Started) {}

void ConfigFollower::noteHead(std::uint64_t Revision) {
  Head_ = std::max(Head_.value_or(0), Revision);
  PlatformAway_ = false;
}

void ConfigFollower::noteNoPlatform() { PlatformAway_ = true; }

void ConfigFollower::notePeer(const std::string &Peer, std::uint64_t Revision) {
  Peers_[Peer] = Revision;
}

void ConfigFollower::forgetPeer(const std::string &Peer) { Peers_.erase(Peer); }

void ConfigFollower::hold(std::uint64_t Revision) {
  checkInvariant(Revision >= Held_, "a VM went back to a lower revision");
  Held_ = Revision;
}

std::uint64_t ConfigFollower::highestKnown() const {
  std::uint64_t Highest = std::max(Held_, Head_.value_or(0));
  for (const auto &[Peer, Revision] : Peers_)
    Highest = std::max(Highest, Revision);
  return Highest;
}

std::vector<std::string> ConfigFollower::peersAhead() const {
  std::vector<std::string> Ahead;
  for (const auto &[Peer, Revision] : Peers_)
    if (Revision > Held_)
      Ahead.push_back(Peer);
  return Ahead;
}

bool ConfigFollower::isCurrent(TimePoint Now) {
  if (IsCurrent_)
    return true;
  // Revision zero has no objects, so without the platform it proves nothing.
  bool MakesDo =
      !Head_ && PlatformAway_ && Held_ > 0 && Now - Started_ >= FirstWait_;
  IsCurrent_ = (Head_ || MakesDo) && Held_ >= highestKnown();
  return IsCurrent_;
}

} // namespace anvil
