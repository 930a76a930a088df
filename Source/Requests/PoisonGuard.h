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

/// Prevents a request that crashes targets from crashing more of them.
class PoisonGuard : public Service {
public:
  static constexpr std::string_view Name = "poison_guard";

  std::string_view serviceName() const override { return Name; }

  /// The refusal if the request is quarantined.
  virtual std::optional<Refusal> check(const RequestContext &Request,
                                       TimePoint Now) = 0;

  /// Whether a target has crashed, or may have crashed, while running the
  /// request, so that the request is given up after one more crash.
  virtual bool isSuspect(const RequestContext &Request, TimePoint Now) = 0;

  /// Waits for a short, bounded time until it is known whether the target
  /// crashed while running a request, so that this VM takes it into account for
  /// a retry and the other VMs are informed.
  virtual boost::asio::awaitable<void>
  awaitCrashConfirmation(const Permit &Used) = 0;

  /// Records that a request starts to run on a target, or has ended there.
  virtual void recordStart(const RequestContext &Request, const Permit &Used,
                           TimePoint Now) = 0;
  virtual void recordEnd(const RequestContext &Request, const Permit &Used,
                         AttemptResult Result, TimePoint Now) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_POISONGUARD_H
