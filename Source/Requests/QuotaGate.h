#ifndef ANVIL_REQUESTS_QUOTAGATE_H
#define ANVIL_REQUESTS_QUOTAGATE_H

#include "Kernel/ServiceRegistry.h"
#include "Requests/Refusal.h"
#include "Requests/RequestContext.h"

#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Tokens charged to a request until it ends.
struct QuotaCharge {
  std::string Customer_;
  double Tokens_ = 0;
};

/// Enforces the rate and burst of customers over all VMs together.
class QuotaGate : public Service {
public:
  static constexpr std::string_view Name = "quota_gate";

  std::string_view serviceName() const override { return Name; }

  /// Charges the request's upper bound. Refusals: exceeds burst, or rate
  /// exceeded with the time until enough tokens can be available.
  virtual boost::asio::awaitable<Outcome<QuotaCharge>>
  charge(const RequestContext &Request) = 0;

  /// Refunds the tokens that the request certainly did not use. `UsedTokens`
  /// includes all tokens that may have been used.
  virtual void settle(const QuotaCharge &Charge, double UsedTokens) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_QUOTAGATE_H
