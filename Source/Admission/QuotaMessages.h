#ifndef ANVIL_ADMISSION_QUOTAMESSAGES_H
#define ANVIL_ADMISSION_QUOTAMESSAGES_H

#include "Admission/QuotaRows.h"
#include "Peer/MessageType.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace anvil {

/// Requests a loan of tokens of one customer.
struct QuotaBalanceRequest {
  static constexpr MessageType Type = MessageType::QuotaBalanceRequest;
  std::string Customer_;
  std::string DataCentre_;
  double Needed_ = 0;
  double Desired_ = 0;
  MSGPACK_DEFINE(Customer_, DataCentre_, Needed_, Desired_)
};

/// The lent tokens, already debited at the lender; how long they may be used,
/// counted from the time of the request; and the balance that the lender has
/// left.
struct QuotaBalanceReply {
  double Tokens_ = 0;
  std::int64_t TermMicros_ = 0;
  double Remaining_ = 0;
  MSGPACK_DEFINE(Tokens_, TermMicros_, Remaining_)
};

/// A lease request to be written to the row of its data centre.
struct QuotaShareRenewal {
  static constexpr MessageType Type = MessageType::QuotaShareRenewal;
  int Action_ = 0;
  std::string Vm_;
  std::string DataCentre_;
  std::string Id_;
  std::string Replaces_;
  std::uint64_t Counter_ = 0;
  bool OldLoansEnded_ = false;
  std::uint64_t SeenVersion_ = 0;
  MSGPACK_DEFINE(Action_, Vm_, DataCentre_, Id_, Replaces_, Counter_,
                 OldLoansEnded_, SeenVersion_)
};

/// The result of a lease request. The other fields are valid only if
/// `OutcomeKnown_` is set.
struct QuotaShareRenewalReply {
  bool OutcomeKnown_ = false;
  bool Accepted_ = false;
  std::string CurrentId_;
  std::uint64_t Version_ = 0;
  std::vector<std::string> Peers_;
  MSGPACK_DEFINE(OutcomeKnown_, Accepted_, CurrentId_, Version_, Peers_)
};

/// Requests the promise not to end the sender's lease for a term.
struct QuotaPromise {
  static constexpr MessageType Type = MessageType::QuotaPromise;
  std::string Vm_;
  std::string DataCentre_;
  MSGPACK_DEFINE(Vm_, DataCentre_)
};

/// Whether the promise is given.
struct QuotaPromiseReply {
  bool Granted_ = false;
  MSGPACK_DEFINE(Granted_)
};

/// Announces that the sender is stopping, so that the receiver borrows its
/// balances.
struct QuotaHandover {
  static constexpr MessageType Type = MessageType::QuotaHandover;
  std::vector<std::string> Customers_;
  MSGPACK_DEFINE(Customers_)
};

/// Sent once the receiver has requested the balances; holds the number of
/// customers.
struct QuotaHandoverReply {
  std::uint64_t RequestedCustomers_ = 0;
  MSGPACK_DEFINE(RequestedCustomers_)
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTAMESSAGES_H
