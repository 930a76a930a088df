#ifndef ANVIL_ENTRY_FLEETLOADS_H
#define ANVIL_ENTRY_FLEETLOADS_H

#include "Loading/LoadPatience.h"
#include "Serving/FleetView.h"
#include "Serving/LoadLearning.h"
#include "Telemetry/Metrics.h"

#include <memory>

namespace anvil {

/// What the fleet learns from loads of adapters, joined with what its view
/// shows of them, with log lines and metrics.
class FleetLoads {
public:
  FleetLoads(const FleetView &View, std::shared_ptr<Metrics> MetricsService)
      : View_(View), Metrics_(std::move(MetricsService)) {}

  LoadLearning &learning() { return Learning_; }
  const LoadLearning &learning() const { return Learning_; }

  /// The loads of all engines from the weight store.
  StoreQueue storeQueue(TimePoint Now) const;

  /// Records what a request of this VM found that had waited for a load.
  void recordOwn(LoadSource Source, Duration Age, bool WasMissing,
                 TimePoint Now);

  /// Sets the gauges.
  void report(TimePoint Now) const;

private:
  const FleetView &View_;
  std::shared_ptr<Metrics> Metrics_;
  LoadLearning Learning_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETLOADS_H
