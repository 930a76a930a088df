#ifndef ANVIL_ENTRY_FLEETPROMPTPARTS_H
#define ANVIL_ENTRY_FLEETPROMPTPARTS_H

#include "Routing/PromptPartGuard.h"
#include "Serving/FleetTopology.h"
#include "Telemetry/Metrics.h"

#include <memory>

namespace anvil {

/// The guard against parts of prompts that crash targets, with log lines and
/// metrics.
class FleetPromptParts {
public:
  explicit FleetPromptParts(std::shared_ptr<Metrics> MetricsService);

  PromptPartGuard &guard() { return Guard_; }

  /// Decides on suspects; to be called every update period.
  void update(const FleetTopology &Topology, TimePoint Now);

private:
  void report(PartId Part, PartEvent Event, std::size_t Crashes,
              Duration Evidence);

  std::shared_ptr<Metrics> Metrics_;
  PromptPartGuard Guard_{PromptPartOptions{}};
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETPROMPTPARTS_H
