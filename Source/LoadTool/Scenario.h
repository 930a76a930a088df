#ifndef ANVIL_LOADTOOL_SCENARIO_H
#define ANVIL_LOADTOOL_SCENARIO_H

#include "Kernel/Error.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvil {

/// A sequence of requests of one customer to one route.
struct TrafficSource {
  std::string Customer_;
  /// The secret of the customer's key.
  std::string Secret_;
  std::string Path_ = "/v1/completions";
  double RequestsPerSecond_ = 1;
  std::int64_t MaxTokens_ = 16;
  std::int64_t PromptBytes_ = 64;
  bool Stream_ = true;
  /// Servers used by this source only; if empty, the scenario's VMs. With an
  /// engine's address, requests bypass the system, which gives a baseline.
  std::vector<std::string> Servers_;
  /// A fixed model; if empty, models are drawn by popularity.
  std::string Model_;
  /// The rate is multiplied by this factor during the surge.
  double SurgeFactor_ = 1;
  double SurgeFromSeconds_ = 0;
  double SurgeToSeconds_ = 0;
};

/// A customer's rate limit, against which its results are evaluated.
struct Entitlement {
  std::string Customer_;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
};

/// A request to a stand-in's control port at a given time of the run.
struct ScheduledFault {
  double AtSeconds_ = 0;
  /// `address:port`.
  std::string Server_;
  std::string Path_ = "/control";
  std::string Body_;
};

/// A load test run: traffic, servers, faults and what to count.
struct Scenario {
  std::string Name_;
  std::int64_t Seed_ = 1;
  double DurationSeconds_ = 10;
  /// Requests that arrive earlier are not counted.
  double WarmupSeconds_ = 2;
  /// Maximum number of open requests. Requests beyond it are not sent but
  /// counted as such.
  std::int64_t MaxOpen_ = 2000;
  double TimeoutSeconds_ = 30;
  /// Caller addresses of the VMs; each request goes to a random one.
  std::vector<std::string> Vms_;
  /// Engines whose records are read after the run.
  std::vector<std::string> Engines_;
  std::int64_t EngineSlots_ = 4;
  std::string AdapterPrefix_ = "adapter-";
  std::int64_t AdapterCount_ = 1;
  double ZipfExponent_ = 1.1;
  /// The time at which the popular adapters change; 0 means never.
  double ShiftAtSeconds_ = 0;
  std::vector<TrafficSource> Sources_;
  std::vector<Entitlement> Entitlements_;
  std::vector<ScheduledFault> Faults_;
};

/// Parses and validates a scenario, JSON with comments.
std::variant<Scenario, std::vector<Error>>
parseScenario(const std::string &Path, const std::string &Text);

} // namespace anvil

#endif // ANVIL_LOADTOOL_SCENARIO_H
