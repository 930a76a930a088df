#ifndef ANVIL_LOADTOOL_SCENARIO_H
#define ANVIL_LOADTOOL_SCENARIO_H

#include "Kernel/Error.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvil {

/// One stream of requests of one customer to one route.
struct TrafficSource {
  std::string Customer_;
  /// The secret of the customer's key.
  std::string Secret_;
  std::string Path_ = "/v1/completions";
  double RequestsPerSecond_ = 1;
  std::int64_t MaxTokens_ = 16;
  std::int64_t PromptBytes_ = 64;
  bool Stream_ = true;
  /// Servers of this source alone; empty means the scenario's VMs. An engine's
  /// address here gives the figures without the system in between.
  std::vector<std::string> Servers_;
  /// A fixed model; empty means drawn by popularity.
  std::string Model_;
  /// The rate is multiplied by this between the two moments.
  double SurgeFactor_ = 1;
  double SurgeFromSeconds_ = 0;
  double SurgeToSeconds_ = 0;
};

/// What a customer may use, for judging how it was served.
struct Entitlement {
  std::string Customer_;
  double RateTokensPerSecond_ = 0;
  double BurstTokens_ = 0;
};

/// A request to a stand-in's control port at a moment of the run.
struct ScheduledFault {
  double AtSeconds_ = 0;
  /// `address:port`.
  std::string Server_;
  std::string Path_ = "/control";
  std::string Body_;
};

/// A whole run.
struct Scenario {
  std::string Name_;
  std::int64_t Seed_ = 1;
  double DurationSeconds_ = 10;
  /// Requests that arrive before this don't count.
  double WarmupSeconds_ = 2;
  /// Requests that may be open at once; more are not sent, and counted.
  std::int64_t MostOpen_ = 2000;
  double TimeoutSeconds_ = 30;
  /// Callers' ports of the VMs; requests go round them at random.
  std::vector<std::string> Vms_;
  /// Engines whose records are read after the run.
  std::vector<std::string> Engines_;
  std::int64_t EngineSlots_ = 4;
  std::string AdapterPrefix_ = "adapter-";
  std::int64_t AdapterCount_ = 1;
  double ZipfExponent_ = 1.1;
  /// From this moment on other adapters are popular; zero means never.
  double ShiftAtSeconds_ = 0;
  std::vector<TrafficSource> Sources_;
  std::vector<Entitlement> Entitlements_;
  std::vector<ScheduledFault> Faults_;
};

/// Reads and checks a scenario, JSON with comments.
std::variant<Scenario, std::vector<Error>>
parseScenario(const std::string &Path, const std::string &Text);

} // namespace anvil

#endif // ANVIL_LOADTOOL_SCENARIO_H
