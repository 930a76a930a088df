#include "Entry/FleetLoads.h"

#include "Telemetry/Log.h"

namespace anvil {

StoreQueue FleetLoads::storeQueue(TimePoint Now) const {
  return {Learning_.times().expected(LoadSource::Store),
          static_cast<double>(View_.inTransit(Now)), Learning_.limit(),
          static_cast<double>(View_.queuedLoads(Now))};
}

void FleetLoads::recordOwn(LoadSource Source, Duration Age, bool WasMissing,
                           TimePoint Now) {
  Duration TimeBefore = Learning_.times().expected(Source);
  double LimitBefore = Learning_.limit();
  double InTransit = View_.inTransit(Now);
  LateCause Cause =
      Learning_.recordOwn(Source, Age, WasMissing, InTransit, Now);
  Metrics_->count("anvil_awaited_loads_total",
                  {{"source", std::string(loadSourceName(Source))},
                   {"outcome", std::string(lateCauseName(Cause))}});
  Duration Expected = Learning_.times().expected(Source);
  if (Expected != TimeBefore || Learning_.limit() < LimitBefore)
    logEvent(LogLevel::Debug, "load_estimate_changed",
             {{"source", loadSourceName(Source)},
              {"outcome", lateCauseName(Cause)},
              {"age_ms", toMillis(Age)},
              {"in_transit", InTransit},
              {"expected_before_ms", toMillis(TimeBefore)},
              {"expected_ms", toMillis(Expected)},
              {"limit_before", LimitBefore},
              {"limit", Learning_.limit()}});
}

void FleetLoads::report(TimePoint Now) const {
  for (const auto &[Source, Name] : LoadSourceNames)
    Metrics_->gauge("anvil_load_time_seconds", {{"source", std::string(Name)}},
                    toSeconds(Learning_.times().expected(Source)));
  StoreQueue Queue = storeQueue(Now);
  Metrics_->gauge("anvil_loads_in_transit", {}, Queue.InTransit_);
  Metrics_->gauge("anvil_load_limit", {}, Queue.Limit_);
  Metrics_->gauge("anvil_loads_queued", {}, Queue.Queued_);
}

} // namespace anvil
