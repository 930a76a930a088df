#ifndef ANVIL_LOADTOOL_DEPLOYMENTPLAN_H
#define ANVIL_LOADTOOL_DEPLOYMENTPLAN_H

#include "LoadTool/Scenario.h"
#include "Objects/ChangeSet.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// A group of identical engines.
struct EnginePool {
  std::string Name_;
  std::int64_t Engines_ = 0;
};

/// A customer's share of the traffic and its rate limit.
struct PlannedCustomer {
  std::string Name_;
  /// The fraction of all requests.
  double TrafficShare_ = 0;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
};

/// The deployment for which the load tool generates a change set and scenarios.
struct DeploymentPlan {
  std::string Name_;
  std::vector<std::string> DataCentres_;
  std::vector<EnginePool> Pools_;
  std::vector<PlannedCustomer> Customers_;
  std::int64_t Adapters_ = 0;
  std::int64_t Vms_ = 8;
  std::int64_t EngineSlots_ = 4;
  std::int64_t AdapterSlots_ = 8;
  double LoadsPerSecond_ = 0;
  std::int64_t ConcurrentLoads_ = 0;
  std::int64_t InTransit_ = 0;

  std::int64_t engineCount() const;
};

/// Returns the plan of that name (`lonestar` or `serenas`) or nothing.
std::optional<DeploymentPlan> findPlan(std::string_view Name);

/// Returns the secret of a planned customer's key. It is derived from the names
/// and therefore only suitable for load tests against stand-ins.
std::string plannedSecret(const DeploymentPlan &Plan,
                          const PlannedCustomer &Planned);

/// Creates the change set that configures the deployment with engines at these
/// addresses.
ChangeSet planChange(const DeploymentPlan &Plan,
                     const std::vector<std::string> &Engines);

/// Creates a scenario as JSON in which each customer sends its share of
/// `RequestsPerSecond`. The first half is warm-up. `Kind` is calm, overload
/// (the largest customer sends five times its rate), shift (the popularity of
/// adapters changes) or outage (of the platform, whose control port is
/// `Platform`). These events begin at six tenths of the run; overload and
/// outage end at eight tenths.
std::string planScenario(const DeploymentPlan &Plan, std::string_view Kind,
                         double RequestsPerSecond, double Seconds,
                         const std::vector<std::string> &Vms,
                         const std::vector<std::string> &Engines,
                         const std::string &Platform);

} // namespace anvil

#endif // ANVIL_LOADTOOL_DEPLOYMENTPLAN_H
