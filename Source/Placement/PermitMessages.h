#ifndef ANVIL_PLACEMENT_PERMITMESSAGES_H
#define ANVIL_PLACEMENT_PERMITMESSAGES_H

#include "Peer/PeerMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvil {

/// Requests a permit from a target's owner. It is resent under the same key
/// until it is granted or refused. Times are in microseconds.
struct PermitRequestMessage {
  static constexpr MessageType Type = MessageType::PermitRequest;
  std::string Target_;
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Id_ = 0;
  std::string Customer_;
  double Weight_ = 1;
  std::string Class_;
  std::int64_t Priority_ = 0;
  std::int64_t AgeingUs_ = 0;
  double Tokens_ = 1;
  std::string Adapter_;
  std::string Version_;
  std::string Weights_;
  /// The time that the request has waited, and the time left until its
  /// deadline.
  std::int64_t WaitedUs_ = 0;
  std::int64_t RemainingUs_ = 0;
  /// The owner replies `Waiting` after this time if there is no decision yet.
  std::int64_t ReplyWithinUs_ = 0;
  MSGPACK_DEFINE(Target_, Vm_, Incarnation_, Id_, Customer_, Weight_, Class_,
                 Priority_, AgeingUs_, Tokens_, Adapter_, Version_, Weights_,
                 WaitedUs_, RemainingUs_, ReplyWithinUs_)
};

/// The owner's decision on a permit request.
enum class PermitResult : std::uint8_t {
  Granted = 0,
  Refused = 1,
  Waiting = 2,
  /// The receiver does not own the target.
  NotOwner = 3,
};

/// The reply to a permit request.
struct PermitReplyMessage {
  std::uint8_t Result_ = static_cast<std::uint8_t>(PermitResult::NotOwner);
  /// The owner of the target in the receiver's view.
  std::string Owner_;
  std::uint64_t Epoch_ = 0;
  /// The engine's incarnation; granted only.
  std::string Incarnation_;
  /// Refused only: the refusal's code, message and retry delay.
  std::string Code_;
  std::string Message_;
  std::int64_t RetryAfterUs_ = 0;
  MSGPACK_DEFINE(Result_, Owner_, Epoch_, Incarnation_, Code_, Message_,
                 RetryAfterUs_)

  PermitResult result() const { return static_cast<PermitResult>(Result_); }
};

/// Releases a permit or withdraws a request for one.
struct PermitReleaseMessage {
  static constexpr MessageType Type = MessageType::PermitRelease;
  std::string Target_;
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Id_ = 0;
  std::uint8_t End_ = 0;
  MSGPACK_DEFINE(Target_, Vm_, Incarnation_, Id_, End_)
};

/// One permit that a VM holds or has requested.
struct InventoryItem {
  std::string Target_;
  std::uint64_t Id_ = 0;
  std::string Adapter_;
  std::string Version_;
  bool Pending_ = false;
  MSGPACK_DEFINE(Target_, Id_, Adapter_, Version_, Pending_)
};

/// All permits and pending requests of a VM at the receiver's targets.
struct PermitInventoryMessage {
  static constexpr MessageType Type = MessageType::PermitInventory;
  /// Whether a new owner requests the receiver's inventory; the other fields
  /// are empty then.
  bool IsRequest_ = false;
  std::string Incarnation_;
  std::uint64_t NextId_ = 0;
  std::vector<InventoryItem> Items_;
  MSGPACK_DEFINE(IsRequest_, Incarnation_, NextId_, Items_)
};

/// An owner's report on one target.
struct TargetReportItem {
  std::string Target_;
  std::string Incarnation_;
  bool Reachable_ = true;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  std::int64_t EstimatedWaitUs_ = 0;
  /// Whether the two lists are filled in; if not, the lists sent before stay
  /// valid.
  bool Full_ = false;
  std::vector<std::string> Resident_;
  std::vector<std::string> HighDemand_;
  MSGPACK_DEFINE(Target_, Incarnation_, Reachable_, Running_, Waiting_,
                 EstimatedWaitUs_, Full_, Resident_, HighDemand_)
};

/// An owner's reports to the VMs of its data centre.
struct TargetReportMessage {
  static constexpr MessageType Type = MessageType::TargetReport;
  std::vector<TargetReportItem> Items_;
  MSGPACK_DEFINE(Items_)
};

/// Requests a lease renewal from the VM that writes the lease row. The reply is
/// the row after the write.
struct LeaseRenewalMessage {
  static constexpr MessageType Type = MessageType::LeaseRenewal;
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Number_ = 0;
  std::uint64_t Adopted_ = 0;
  MSGPACK_DEFINE(Vm_, Incarnation_, Number_, Adopted_)
};

/// The lease row with its version; the version is zero when the write failed.
struct LeaseRowMessage {
  std::string Row_;
  std::uint64_t Version_ = 0;
  MSGPACK_DEFINE(Row_, Version_)
};

/// Announces that the sender gives no more orders for the listed targets; also
/// carries the newest lease row.
struct OwnershipHandoverMessage {
  static constexpr MessageType Type = MessageType::OwnershipHandover;
  std::string Row_;
  std::uint64_t Version_ = 0;
  std::uint64_t Generation_ = 0;
  std::string Incarnation_;
  /// Targets that the sender has released and that have no order in flight.
  std::vector<std::string> Targets_;
  MSGPACK_DEFINE(Row_, Version_, Generation_, Incarnation_, Targets_)
};

/// Requests a load from a holder of a share of the weight store's budget, or
/// reports its end.
struct StoreBudgetMessage {
  static constexpr MessageType Type = MessageType::StoreBudget;
  std::string Load_;
  bool Ended_ = false;
  MSGPACK_DEFINE(Load_, Ended_)
};

/// Whether the load may start.
struct StoreBudgetReply {
  bool Allowed_ = false;
  MSGPACK_DEFINE(Allowed_)
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_PERMITMESSAGES_H
