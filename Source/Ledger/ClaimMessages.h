#ifndef ANVIL_LEDGER_CLAIMMESSAGES_H
#define ANVIL_LEDGER_CLAIMMESSAGES_H

#include "Peer/PeerMessage.h"

#include <string>

namespace anvil {

/// Queries the VM that made a claim whether the claimed request is running.
struct ClaimLookupRequest {
  static constexpr MessageType Type = MessageType::ClaimLookup;

  std::string Row_;
  /// The claim's id, which begins with the incarnation of its process.
  std::string Id_;

  MSGPACK_DEFINE(Row_, Id_)
};

/// The state of the claimed request at the VM that made the claim.
struct ClaimLookupReply {
  /// The incarnation of the process that replies.
  std::string Incarnation_;
  /// Whether the request is running, or ended and is not recorded yet.
  bool Running_ = false;

  MSGPACK_DEFINE(Incarnation_, Running_)
};

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMMESSAGES_H
