#ifndef ANVIL_LEDGER_CLAIMMESSAGES_H
#define ANVIL_LEDGER_CLAIMMESSAGES_H

#include "Peer/PeerMessage.h"

#include <string>

namespace anvil {

/// Asks the VM that made a claim whether it runs.
struct ClaimLookupRequest {
  static constexpr MessageType Type = MessageType::ClaimLookup;

  std::string Row_;
  /// The claim's own id, which begins with its process's incarnation.
  std::string Id_;

  MSGPACK_DEFINE(Row_, Id_)
};

/// What that VM says.
struct ClaimLookupReply {
  /// The incarnation of the process that answers.
  std::string Incarnation_;
  /// Whether the claim runs, or ended and is not recorded yet.
  bool Running_ = false;

  MSGPACK_DEFINE(Incarnation_, Running_)
};

} // namespace anvil

#endif // ANVIL_LEDGER_CLAIMMESSAGES_H
