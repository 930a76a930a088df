#ifndef ANVIL_REQUESTS_REQUESTLEDGER_H
#define ANVIL_REQUESTS_REQUESTLEDGER_H

#include "Http/HttpMessage.h"
#include "Kernel/ServiceRegistry.h"
#include "Requests/Refusal.h"
#include "Requests/RequestContext.h"

#include <boost/asio/awaitable.hpp>

#include <variant>

namespace anvil {

/// The right to run a request that may not be repeated.
struct ClaimToken {
  /// The claim's row; empty when the caller gave no idempotency key.
  std::string Row_;
  std::uint64_t Version_ = 0;
};

/// A claim to run, or the answer recorded by an earlier run.
using ClaimDecision = std::variant<ClaimToken, HttpReply>;

/// How a claimed request ended.
struct ClaimEnd {
  Execution Ran_ = Execution::Unknown;
  /// The whole answer, when there is one.
  HttpReply Answer_;
};

/// Remembers requests that may not be repeated, over all VMs.
class RequestLedger : public Service {
public:
  static constexpr std::string_view Name = "request_ledger";

  std::string_view serviceName() const override { return Name; }

  /// Claims the request before it is dispatched. Refusals: in progress, outcome
  /// unknown, idempotency conflict, platform unavailable.
  virtual boost::asio::awaitable<Outcome<ClaimDecision>>
  claim(const RequestContext &Request) = 0;

  /// Records the end. A request that did not run gives its claim back, so that
  /// its caller may send it again.
  virtual boost::asio::awaitable<void> record(ClaimToken Claim,
                                              ClaimEnd End) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_REQUESTLEDGER_H
