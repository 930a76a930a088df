#ifndef ANVIL_REQUESTS_REQUESTLEDGER_H
#define ANVIL_REQUESTS_REQUESTLEDGER_H

#include "Kernel/ServiceRegistry.h"
#include "Requests/Claim.h"
#include "Requests/RequestContext.h"

#include <boost/asio/awaitable.hpp>

namespace anvil {

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
