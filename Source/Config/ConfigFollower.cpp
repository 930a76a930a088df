#include "Config/ConfigFollower.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

ConfigFollower::ConfigFollower(Duration HeadTimeout, TimePoint Started)
    : HeadTimeout_(HeadTimeout), Started_(Started) {}

void ConfigFollower::updateHead(std::uint64_t Revision) {
  Head_ = std::max(Head_.value_or(0), Revision);
  PlatformUnreachable_ = false;
}

void ConfigFollower::recordPlatformFailure() { PlatformUnreachable_ = true; }

void ConfigFollower::updatePeer(const std::string &Peer,
                                std::uint64_t Revision) {
  PeerRevisions_[Peer] = Revision;
}

void ConfigFollower::removePeer(const std::string &Peer) {
  PeerRevisions_.erase(Peer);
}

void ConfigFollower::advanceTo(std::uint64_t Revision) {
  checkInvariant(Revision >= HeldRevision_,
                 "a VM returned to a lower revision");
  HeldRevision_ = Revision;
}

std::uint64_t ConfigFollower::highestKnown() const {
  std::uint64_t Highest = std::max(HeldRevision_, Head_.value_or(0));
  for (const auto &[Peer, Revision] : PeerRevisions_)
    Highest = std::max(Highest, Revision);
  return Highest;
}

std::vector<std::string> ConfigFollower::peersAhead() const {
  std::vector<std::string> Ahead;
  for (const auto &[Peer, Revision] : PeerRevisions_)
    if (Revision > HeldRevision_)
      Ahead.push_back(Peer);
  return Ahead;
}

bool ConfigFollower::isCurrent(TimePoint Now) {
  if (IsCurrent_)
    return true;
  // Revision zero has no objects, so without the platform it is no evidence of
  // being current.
  bool PeersSuffice = !Head_ && PlatformUnreachable_ && HeldRevision_ > 0 &&
                      Now - Started_ >= HeadTimeout_;
  IsCurrent_ = (Head_ || PeersSuffice) && HeldRevision_ >= highestKnown();
  return IsCurrent_;
}

} // namespace anvil
