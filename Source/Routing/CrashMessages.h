#ifndef ANVIL_ROUTING_CRASHMESSAGES_H
#define ANVIL_ROUTING_CRASHMESSAGES_H

#include "Peer/PeerMessage.h"

#include <string>
#include <vector>

namespace anvil {

/// Reports the requests that were running when a target crashed.
struct CrashSuspectNotice {
  static constexpr MessageType Type = MessageType::CrashSuspect;

  std::string Target_;
  std::string Incarnation_;
  std::vector<std::string> Digests_;
  /// Whether the receiver forwards the notice to the other VMs of its data
  /// centre.
  bool Relay_ = false;

  MSGPACK_DEFINE(Target_, Incarnation_, Digests_, Relay_)
};

/// Reports that an operator has cleared a quarantined request.
struct QuarantineClearNotice {
  static constexpr MessageType Type = MessageType::QuarantineClear;

  std::string Digest_;
  bool Relay_ = false;

  MSGPACK_DEFINE(Digest_, Relay_)
};

} // namespace anvil

#endif // ANVIL_ROUTING_CRASHMESSAGES_H
