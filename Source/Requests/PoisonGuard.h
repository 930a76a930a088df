#ifndef ANVIL_REQUESTS_POISONGUARD_H
#define ANVIL_REQUESTS_POISONGUARD_H

#include "Kernel/ServiceRegistry.h"
#include "Requests/PermitBroker.h"
#include "Requests/Refusal.h"
#include "Requests/RequestContext.h"
#include "Requests/TargetSelector.h"

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace anvil {

/// Keeps a request that crashes targets from crashing more of them.
class PoisonGuard : public Service {
public:
  static constexpr std::string_view Name = "poison_guard";

  std::string_view serviceName() const override { return Name; }

  /// The refusal of a quarantined request.
  virtual std::optional<Refusal> check(const RequestContext &Request,
                                       TimePoint Now) = 0;

  /// Whether a target has crashed, or may have crashed, under the request, so
  /// that one more crash is enough to give it up.
  virtual bool isSuspect(const RequestContext &Request, TimePoint Now) = 0;

  /// Waits a short, bounded time until it is known whether the target crashed
  /// under a request, so that a retry knows of it and the other VMs do.
  virtual boost::asio::awaitable<void> confirm(const Permit &Used) = 0;

  /// Notes that a request begins and ends to run on a target.
  virtual void began(const RequestContext &Request, const Permit &Used,
                     TimePoint Now) = 0;
  virtual void ended(const RequestContext &Request, const Permit &Used,
                     TryResult Result, TimePoint Now) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_POISONGUARD_H
