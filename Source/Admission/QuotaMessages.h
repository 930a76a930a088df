#ifndef ANVIL_ADMISSION_QUOTAMESSAGES_H
#define ANVIL_ADMISSION_QUOTAMESSAGES_H

#include "Admission/QuotaRows.h"
#include "Peer/MessageType.h"

#include <msgpack.hpp>

#include <string>
#include <vector>

namespace anvil {

/// Asks a VM for tokens of one customer.
struct QuotaBalanceRequest {
  static constexpr MessageType Type = MessageType::QuotaBalanceRequest;
  std::string Customer_;
  std::string DataCentre_;
  double Needed_ = 0;
  double Wanted_ = 0;
  MSGPACK_DEFINE(Customer_, DataCentre_, Needed_, Wanted_)
};

/// The tokens, debited at the giver, how long they may be used from the moment
/// of asking, and what the giver has left.
struct QuotaBalanceReply {
  double Tokens_ = 0;
  std::int64_t TermMicros_ = 0;
  double Left_ = 0;
  MSGPACK_DEFINE(Tokens_, TermMicros_, Left_)
};

/// A lease message on its way to the row of its data centre.
struct QuotaShareRenewal {
  static constexpr MessageType Type = MessageType::QuotaShareRenewal;
  int Wish_ = 0;
  std::string Vm_;
  std::string DataCentre_;
  std::string Id_;
  std::string Replaces_;
  std::uint64_t Counter_ = 0;
  bool OldLoansEnded_ = false;
  std::uint64_t Seen_ = 0;
  MSGPACK_DEFINE(Wish_, Vm_, DataCentre_, Id_, Replaces_, Counter_,
                 OldLoansEnded_, Seen_)
};

/// What became of it; when it isn't known, nothing else here counts.
struct QuotaShareReply {
  bool Known_ = false;
  bool Accepted_ = false;
  std::string CurrentId_;
  std::uint64_t Version_ = 0;
  std::vector<std::string> Mates_;
  MSGPACK_DEFINE(Known_, Accepted_, CurrentId_, Version_, Mates_)
};

/// Asks for the promise not to end the sender's lease for a term.
struct QuotaPromise {
  static constexpr MessageType Type = MessageType::QuotaPromise;
  std::string Vm_;
  std::string DataCentre_;
  MSGPACK_DEFINE(Vm_, DataCentre_)
};

/// Whether it is given.
struct QuotaPromiseReply {
  bool Given_ = false;
  MSGPACK_DEFINE(Given_)
};

/// Says that the sender stops, so that the receiver asks it for its balances.
struct QuotaHandover {
  static constexpr MessageType Type = MessageType::QuotaHandover;
  std::vector<std::string> Customers_;
  MSGPACK_DEFINE(Customers_)
};

/// The receiver has asked for all that it wants.
struct QuotaHandoverReply {
  std::uint64_t Taken_ = 0;
  MSGPACK_DEFINE(Taken_)
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTAMESSAGES_H
