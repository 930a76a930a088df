#ifndef ANVIL_REQUESTS_REQUESTLEDGER_H
#define ANVIL_REQUESTS_REQUESTLEDGER_H

#include "Kernel/ServiceRegistry.h"
#include "Requests/Claim.h"
#include "Requests/RequestContext.h"

#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Records requests that must not be repeated, over all VMs.
class RequestLedger : public Service {
public:
  static constexpr std::string_view Name = "request_ledger";

  std::string_view serviceName() const override { return Name; }

  /// Claims the request before it is dispatched. Refusals: in progress, outcome
  /// unknown, idempotency conflict, platform unavailable.
  virtual boost::asio::awaitable<Outcome<ClaimDecision>>
  claim(const RequestContext &Request) = 0;

  /// Records the outcome. If the request did not run, its claim is released, so
  /// that the caller may send it again.
  virtual boost::asio::awaitable<void> record(ClaimToken Claim,
                                              ClaimOutcome End) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_REQUESTLEDGER_H
