#ifndef ANVIL_REQUESTS_PERMITBROKER_H
#define ANVIL_REQUESTS_PERMITBROKER_H

#include "Http/Endpoint.h"
#include "Kernel/ServiceRegistry.h"
#include "Requests/Refusal.h"
#include "Requests/RequestContext.h"

#include <boost/asio/awaitable.hpp>

#include <string>

namespace anvil {

/// The right to run one request on a target, with its adapter kept resident
/// until the permit is released.
struct Permit {
  std::uint64_t Id_ = 0;
  std::string Target_;
  Endpoint Address_;
  AdapterRef Adapter_;
  /// The VM that granted it; empty if it was granted without an owner.
  std::string Owner_;
  /// The fencing token of the owner's lease.
  std::uint64_t Epoch_ = 0;
  /// The incarnation of the target for which it was granted.
  std::string Incarnation_;
};

/// The outcome of the work under a permit.
enum class PermitOutcome { Finished, NotStarted, TargetFailed, AdapterMissing };

/// Obtains and releases permits for targets, whichever VM owns them.
class PermitBroker : public Service {
public:
  static constexpr std::string_view Name = "permit_broker";

  std::string_view serviceName() const override { return Name; }

  /// Obtains a permit for the request on that target. May wait in the target's
  /// queue and for a load, at most until the deadline. Refusals state that the
  /// request did not run, and contain a retry time.
  virtual boost::asio::awaitable<Outcome<Permit>>
  acquire(const RequestContext &Request, std::string Target) = 0;

  /// Releases a permit. Must be called exactly once for each permit.
  virtual void release(const Permit &Held, PermitOutcome End) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_PERMITBROKER_H
