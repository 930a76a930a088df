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
  /// The VM that granted it; empty when it was taken without an owner.
  std::string Owner_;
  /// The fencing number of the owner's lease.
  std::uint64_t Epoch_ = 0;
  /// The life of the target that it was granted for.
  std::string Incarnation_;
};

/// How the work under a permit ended.
enum class PermitEnd { Finished, NotStarted, TargetFailed, AdapterMissing };

/// Grants permits for the targets of all owners.
class PermitBroker : public Service {
public:
  static constexpr std::string_view Name = "permit_broker";

  std::string_view serviceName() const override { return Name; }

  /// Gets a permit for the request on that target; it may wait in the target's
  /// queue and for a load, at most until the deadline. The refusals say `not
  /// run`, and when to come back.
  virtual boost::asio::awaitable<Outcome<Permit>>
  acquire(const RequestContext &Request, std::string Target) = 0;

  /// Gives a permit back. Each permit is released exactly once.
  virtual void release(const Permit &Held, PermitEnd End) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_PERMITBROKER_H
