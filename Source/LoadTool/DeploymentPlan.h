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

/// A group of like engines.
struct EnginePool {
  std::string Name_;
  std::int64_t Engines_ = 0;
};

/// A customer's part of the traffic and what it may use.
struct PlannedCustomer {
  std::string Name_;
  /// Its part of all requests.
  double TrafficPart_ = 0;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
};

/// What the load tool needs to know of a whole deployment.
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

/// The plan of that name: `lonestar` or `serenas`.
std::optional<DeploymentPlan> findPlan(std::string_view Name);

/// The secret of a planned customer's key. It is derived from the names, for
/// load on stand-ins only.
std::string plannedSecret(const DeploymentPlan &Plan,
                          const PlannedCustomer &Given);

/// The change set that sets the deployment up on engines at these addresses.
ChangeSet planChange(const DeploymentPlan &Plan,
                     const std::vector<std::string> &Engines);

/// A scenario's JSON: all customers at their part of `RequestsPerSecond`.
/// The first half is warm-up. `Kind` is calm, overload (the largest customer at
/// five times its rate), shift (of popularity) or outage (of the platform,
/// whose control port is `Platform`); these begin at six tenths of the run, and
/// overload and outage end at eight tenths.
std::string planScenario(const DeploymentPlan &Plan, std::string_view Kind,
                         double RequestsPerSecond, double Seconds,
                         const std::vector<std::string> &Vms,
                         const std::vector<std::string> &Engines,
                         const std::string &Platform);

} // namespace anvil

#endif // ANVIL_LOADTOOL_DEPLOYMENTPLAN_H
