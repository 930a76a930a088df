#ifndef ANVIL_CONFIG_CONFIGMESSAGES_H
#define ANVIL_CONFIG_CONFIGMESSAGES_H

#include "Peer/MessageType.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace anvil {

/// Asks a member for what is newer than a revision.
struct ConfigPullMessage {
  static constexpr MessageType Type = MessageType::ConfigPull;
  std::uint64_t From_ = 0;
  /// Whether only the whole set helps, as after a digest that differed.
  bool WantSnapshot_ = false;
  MSGPACK_DEFINE(From_, WantSnapshot_)
};

/// The changes that lead to a revision, or the whole set, with the SHA-256 of
/// the set's text. Neither is there when the set is too large for a frame.
struct ConfigPullReply {
  std::uint64_t Revision_ = 0;
  std::string Digest_;
  std::vector<std::string> Changes_;
  std::string Snapshot_;
  MSGPACK_DEFINE(Revision_, Digest_, Changes_, Snapshot_)
};

/// Asks which VMs of the answering VM's data centre hold which revision.
struct ConfirmationMessage {
  static constexpr MessageType Type = MessageType::ConfigConfirmation;
  std::uint64_t Revision_ = 0;
  MSGPACK_DEFINE(Revision_)
};

/// The VMs of a data centre that said they hold the revision asked for, and
/// those that are known there and did not.
struct ConfirmationReply {
  std::vector<std::string> Confirmed_;
  std::vector<std::string> Unconfirmed_;
  MSGPACK_DEFINE(Confirmed_, Unconfirmed_)
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGMESSAGES_H
