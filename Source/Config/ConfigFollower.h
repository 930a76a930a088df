#ifndef ANVIL_CONFIG_CONFIGFOLLOWER_H
#define ANVIL_CONFIG_CONFIGFOLLOWER_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Tracks the configuration revisions known to a VM. Decides whether the VM is
/// behind, which peers it can pull from, and when a newly started VM may serve.
class ConfigFollower {
public:
  /// `HeadTimeout` is how long a newly started VM waits for the head before the
  /// revisions of its reachable peers suffice.
  ConfigFollower(Duration HeadTimeout, TimePoint Started);

  /// Records the head revision as read from the platform.
  void updateHead(std::uint64_t Revision);

  void recordPlatformFailure();

  /// Records the revision in a peer's heartbeat; removes an unreachable peer.
  void updatePeer(const std::string &Peer, std::uint64_t Revision);
  void removePeer(const std::string &Peer);

  /// Records the revision in use on this VM. It must not decrease.
  void advanceTo(std::uint64_t Revision);

  std::uint64_t heldRevision() const { return HeldRevision_; }

  /// The highest revision among this VM's own, the head and its peers'.
  std::uint64_t highestKnown() const;

  /// The reachable peers with a higher revision than this VM.
  std::vector<std::string> peersAhead() const;

  /// Whether this VM's revision is recent enough to serve. Stays true once it
  /// is.
  bool isCurrent(TimePoint Now);

  /// Whether this process has read the head from the platform.
  bool hasReadHead() const { return Head_.has_value(); }

private:
  Duration HeadTimeout_;
  TimePoint Started_;
  std::uint64_t HeldRevision_ = 0;
  std::optional<std::uint64_t> Head_;
  bool PlatformUnreachable_ = false;
  bool IsCurrent_ = false;
  std::map<std::string, std::uint64_t> PeerRevisions_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGFOLLOWER_H
