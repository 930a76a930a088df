#ifndef ANVIL_MEMBERSHIP_MEMBERMESSAGES_H
#define ANVIL_MEMBERSHIP_MEMBERMESSAGES_H

#include "Peer/MessageType.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace anvil {

/// A VM's state, sent to its peers periodically and whenever its revision
/// changes. Durations and timestamps are microseconds of the boot clock of the
/// VM that made them.
struct HeartbeatMessage {
  static constexpr MessageType Type = MessageType::Heartbeat;
  std::string Incarnation_;
  std::uint64_t Sequence_ = 0;
  std::string DataCentre_;
  /// The address at which peers reach the sender.
  std::string Address_;
  /// The sender's clock when it sent the message.
  std::int64_t Stamp_ = 0;
  /// The last stamp that the sender received from the receiver, the receiver's
  /// incarnation then, and the time since. Zero when there is none.
  std::int64_t EchoStamp_ = 0;
  std::string EchoIncarnation_;
  std::int64_t EchoHeld_ = 0;
  bool Leaving_ = false;
  /// Whether the receiver does not reply: set in replies and announcements.
  bool NoReply_ = false;

  std::uint64_t Revision_ = 0;
  /// The age of the sender's evidence that no revision higher than its own is
  /// in force; negative when it has none.
  std::int64_t EvidenceAge_ = -1;
  bool PlatformReachable_ = true;
  /// The age of the finding that no VM of the sender's data centre reaches the
  /// platform; negative when some VM does or has not stated whether it does.
  std::int64_t OutageAge_ = -1;
  /// Whether the sender may report that the platform is unreachable: only if
  /// this process has read the head of the configuration since it started.
  bool CanReportOutage_ = false;
  MSGPACK_DEFINE(Incarnation_, Sequence_, DataCentre_, Address_, Stamp_,
                 EchoStamp_, EchoIncarnation_, EchoHeld_, Leaving_, NoReply_,
                 Revision_, EvidenceAge_, PlatformReachable_, OutageAge_,
                 CanReportOutage_)
};

/// The last message of a VM that shuts down cleanly.
struct GoodbyeMessage {
  static constexpr MessageType Type = MessageType::Goodbye;
  std::string Incarnation_;
  std::uint64_t Revision_ = 0;
  MSGPACK_DEFINE(Incarnation_, Revision_)
};

} // namespace anvil

#endif // ANVIL_MEMBERSHIP_MEMBERMESSAGES_H
