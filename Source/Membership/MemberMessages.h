#ifndef ANVIL_MEMBERSHIP_MEMBERMESSAGES_H
#define ANVIL_MEMBERSHIP_MEMBERMESSAGES_H

#include "Peer/MessageType.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace anvil {

/// What a VM tells its peers about itself at a steady period, and out of turn
/// when its revision changes. Durations and stamps are microseconds of the
/// boot clock of the VM that made them.
struct HeartbeatMessage {
  static constexpr MessageType Type = MessageType::Heartbeat;
  std::string Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::string DataCentre_;
  /// Where peers reach the sender.
  std::string Address_;
  /// The sender's clock.
  std::int64_t Stamp_ = 0;
  /// The last stamp of the receiver that the sender saw, the receiver's
  /// incarnation then, and how long ago that was. Zero when there is none.
  std::int64_t EchoStamp_ = 0;
  std::string EchoIncarnation_;
  std::int64_t EchoHeld_ = 0;
  bool Leaving_ = false;
  /// Whether this answers a heartbeat and asks for no answer itself.
  bool Answer_ = false;

  std::uint64_t Revision_ = 0;
  /// The age of the sender's evidence that no higher revision than its own is
  /// in force; negative when it has none.
  std::int64_t EvidenceAge_ = -1;
  bool PlatformReachable_ = true;
  /// The age of the statement that no VM of the sender's data centre reaches
  /// the platform; negative when some do or one's statement is missing.
  std::int64_t OutageAge_ = -1;
  /// Whether the sender may state that it can't reach the platform: this
  /// process has known the head since it started.
  bool MayState_ = false;
  MSGPACK_DEFINE(Incarnation_, Sequence_, DataCentre_, Address_, Stamp_,
                 EchoStamp_, EchoIncarnation_, EchoHeld_, Leaving_, Answer_,
                 Revision_, EvidenceAge_, PlatformReachable_, OutageAge_,
                 MayState_)
};

/// The last message of a VM that stops in good order.
struct GoodbyeMessage {
  static constexpr MessageType Type = MessageType::Goodbye;
  std::string Incarnation_;
  std::uint64_t Revision_ = 0;
  MSGPACK_DEFINE(Incarnation_, Revision_)
};

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_MEMBERMESSAGES_H
