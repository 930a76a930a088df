#ifndef ANVIL_CONFIG_CONFIGMESSAGES_H
#define ANVIL_CONFIG_CONFIGMESSAGES_H

#include "Peer/MessageType.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace anvil {

/// Requests what a peer holds beyond a revision.
struct ConfigPullRequest {
  static constexpr MessageType Type = MessageType::ConfigPull;
  std::uint64_t AfterRevision_ = 0;
  /// Requests the full snapshot, as after a digest mismatch.
  bool SnapshotRequired_ = false;
  MSGPACK_DEFINE(AfterRevision_, SnapshotRequired_)
};

/// The changes up to a revision or the full snapshot, with the
/// `SetDigest` of the set (a sum of SHA-256 values). Both are empty when the
/// snapshot is too large for a frame.
struct ConfigPullReply {
  std::uint64_t Revision_ = 0;
  std::string Digest_;
  std::vector<std::string> Changes_;
  std::string Snapshot_;
  MSGPACK_DEFINE(Revision_, Digest_, Changes_, Snapshot_)
};

/// Requests which VMs of the receiver's data centre hold a revision.
struct ConfirmationRequest {
  static constexpr MessageType Type = MessageType::ConfigConfirmation;
  std::uint64_t Revision_ = 0;
  MSGPACK_DEFINE(Revision_)
};

/// The VMs of a data centre that reported the requested revision or a higher
/// one, and the known VMs that have not.
struct ConfirmationReply {
  std::vector<std::string> Confirmed_;
  std::vector<std::string> Unconfirmed_;
  MSGPACK_DEFINE(Confirmed_, Unconfirmed_)
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGMESSAGES_H
