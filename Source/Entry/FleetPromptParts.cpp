#include "Entry/FleetPromptParts.h"

#include "Kernel/EnumNames.h"
#include "Kernel/HexText.h"
#include "Telemetry/Log.h"

namespace anvil {

FleetPromptParts::FleetPromptParts(std::shared_ptr<Metrics> MetricsService)
    : Metrics_(std::move(MetricsService)) {
  Guard_.onEvent(
      [this](PartId Part, PartEvent Event, std::size_t Crashes,
             Duration Evidence) { report(Part, Event, Crashes, Evidence); });
}

void FleetPromptParts::update(const FleetTopology &Topology, TimePoint Now) {
  Guard_.update(Now);
  Guard_.setRank(Topology.rank(), Topology.vms());
  Metrics_->gauge("anvil_prompt_parts", {{"state", "suspect"}},
                  static_cast<double>(Guard_.suspects()));
  Metrics_->gauge("anvil_prompt_parts", {{"state", "quarantined"}},
                  static_cast<double>(Guard_.quarantined(Now)));
}

void FleetPromptParts::report(PartId Part, PartEvent Event, std::size_t Crashes,
                              Duration Evidence) {
  std::string_view Name = enumName(Event, PartEventNames);
  logEvent(LogLevel::Warning, "prompt_part",
           {{"part", hexText(Part)},
            {"change", Name},
            {"crashes", Crashes},
            {"evidence_age_ms", toMillis(Evidence)}});
  Metrics_->count("anvil_prompt_part_changes_total",
                  {{"change", std::string(Name)}});
}

} // namespace anvil
