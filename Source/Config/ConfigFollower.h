#ifndef ANVIL_CONFIG_CONFIGFOLLOWER_H
#define ANVIL_CONFIG_CONFIGFOLLOWER_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Decides when a VM is behind and whom it asks, and when a fresh one knows
/// enough to serve.
class ConfigFollower {
public:
  /// A VM that starts. `FirstWait` is how long it looks for the head before it
  /// makes do with what the reachable members hold.
  ConfigFollower(Duration FirstWait, TimePoint Started);

  /// Notes the head as read from the platform.
  void noteHead(std::uint64_t Revision);

  /// Notes that the platform did not answer.
  void noteNoPlatform();

  /// Notes the revision of a member that was heard, and that one is gone.
  void notePeer(const std::string &Peer, std::uint64_t Revision);
  void forgetPeer(const std::string &Peer);

  /// Notes the revision this VM works by. It never falls.
  void hold(std::uint64_t Revision);

  std::uint64_t held() const { return Held_; }

  /// The highest revision known to exist.
  std::uint64_t highestKnown() const;

  /// The reachable members that hold more than this VM.
  std::vector<std::string> peersAhead() const;

  /// Whether this VM may serve. Once true it stays true.
  bool isCurrent(TimePoint Now);

  /// Whether this process has read the head from the platform.
  bool hasReadHead() const { return Head_.has_value(); }

private:
  Duration FirstWait_;
  TimePoint Started_;
  std::uint64_t Held_ = 0;
  std::optional<std::uint64_t> Head_;
  bool PlatformAway_ = false;
  bool IsCurrent_ = false;
  std::map<std::string, std::uint64_t> Peers_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGFOLLOWER_H
