#ifndef ANVIL_PLACEMENT_PERMITMESSAGES_H
#define ANVIL_PLACEMENT_PERMITMESSAGES_H

#include "Peer/PeerMessage.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvil {

/// Asks a target's owner for a permit. It is sent again under the same key
/// until there is a grant or a refusal. Times are in microseconds.
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
  /// How long the request has waited, and how long it may go on.
  std::int64_t WaitedUs_ = 0;
  std::int64_t LeftUs_ = 0;
  /// After this the owner says that the request still waits.
  std::int64_t AnswerWithinUs_ = 0;
  MSGPACK_DEFINE(Target_, Vm_, Incarnation_, Id_, Customer_, Weight_, Class_,
                 Priority_, AgeingUs_, Tokens_, Adapter_, Version_, Weights_,
                 WaitedUs_, LeftUs_, AnswerWithinUs_)
};

/// What became of a request for a permit.
enum class PermitAnswer : std::uint8_t {
  Granted = 0,
  Refused = 1,
  Waiting = 2,
  /// The VM asked does not own the target.
  NotOwner = 3,
};

/// The owner's reply.
struct PermitReplyMessage {
  std::uint8_t Answer_ = static_cast<std::uint8_t>(PermitAnswer::NotOwner);
  /// Who owns the target, as far as the VM asked knows.
  std::string Owner_;
  std::uint64_t Epoch_ = 0;
  /// The engine's life; granted only.
  std::string Incarnation_;
  /// Refused only: the refusal's code, text and time to come back.
  std::string Code_;
  std::string Message_;
  std::int64_t RetryAfterUs_ = 0;
  MSGPACK_DEFINE(Answer_, Owner_, Epoch_, Incarnation_, Code_, Message_,
                 RetryAfterUs_)

  PermitAnswer answer() const { return static_cast<PermitAnswer>(Answer_); }
};

/// Gives a permit back, or says that it is no longer waited for.
struct PermitReleaseMessage {
  static constexpr MessageType Type = MessageType::PermitRelease;
  std::string Target_;
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Id_ = 0;
  std::uint8_t End_ = 0;
  MSGPACK_DEFINE(Target_, Vm_, Incarnation_, Id_, End_)
};

/// One permit that a VM holds or waits for.
struct InventoryItem {
  std::string Target_;
  std::uint64_t Id_ = 0;
  std::string Adapter_;
  std::string Version_;
  bool Awaited_ = false;
  MSGPACK_DEFINE(Target_, Id_, Adapter_, Version_, Awaited_)
};

/// All that a VM holds and waits for at the targets of the VM that gets it.
struct PermitInventoryMessage {
  static constexpr MessageType Type = MessageType::PermitInventory;
  /// A new owner asks for the receiver's inventory; the rest is empty then.
  bool Ask_ = false;
  std::string Incarnation_;
  std::uint64_t NextId_ = 0;
  std::vector<InventoryItem> Items_;
  MSGPACK_DEFINE(Ask_, Incarnation_, NextId_, Items_)
};

/// What an owner tells of one target.
struct TargetReportItem {
  std::string Target_;
  std::string Incarnation_;
  bool Reachable_ = true;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  std::int64_t EstimatedWaitUs_ = 0;
  /// Whether the two lists are filled in; if not, those sent before hold.
  bool Full_ = false;
  std::vector<std::string> Resident_;
  std::vector<std::string> Crowded_;
  MSGPACK_DEFINE(Target_, Incarnation_, Reachable_, Running_, Waiting_,
                 EstimatedWaitUs_, Full_, Resident_, Crowded_)
};

/// What an owner tells the VMs of its data centre.
struct TargetReportMessage {
  static constexpr MessageType Type = MessageType::TargetReport;
  std::vector<TargetReportItem> Items_;
  MSGPACK_DEFINE(Items_)
};

/// A VM asks the one that writes the lease row to renew it. The reply is the
/// row after the write.
struct LeaseRenewalMessage {
  static constexpr MessageType Type = MessageType::LeaseRenewal;
  std::string Vm_;
  std::string Incarnation_;
  std::uint64_t Number_ = 0;
  std::uint64_t Adopted_ = 0;
  MSGPACK_DEFINE(Vm_, Incarnation_, Number_, Adopted_)
};

/// The lease row with its version; version zero when it could not be written.
struct LeaseRowMessage {
  std::string Row_;
  std::uint64_t Version_ = 0;
  MSGPACK_DEFINE(Row_, Version_)
};

/// A VM that stops gives its targets up: it orders nothing any more.
struct OwnershipHandoverMessage {
  static constexpr MessageType Type = MessageType::OwnershipHandover;
  std::string Row_;
  std::uint64_t Version_ = 0;
  std::uint64_t Generation_ = 0;
  std::string Incarnation_;
  /// Those without an order in flight.
  std::vector<std::string> Targets_;
  MSGPACK_DEFINE(Row_, Version_, Generation_, Incarnation_, Targets_)
};

/// Asks a holder of the weight store's budget to start or end a load.
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
