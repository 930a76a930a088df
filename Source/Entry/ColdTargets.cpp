#include "Entry/ColdTargets.h"

#include "Kernel/EnumNames.h"
#include "Telemetry/Log.h"

namespace anvil {

ColdTargets::ColdTargets(const ServiceRegistry &Services)
    : Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)) {}

Status ColdTargets::start() {
  Plans_->Changed_.attach(
      [this](const ServingPlan &Plan) { applyPlan(Plan, BootClock::now()); });
  Plans_->EvacuationChanged_.attach(
      [this](const std::string &DataCentre, bool IsEvacuated) {
        if (!IsEvacuated)
          recordDataCentreReturned(DataCentre, BootClock::now());
      });
  Targets_->Changed_.attach([this](const RosterChange &Change) {
    applyRosterChange(Change, BootClock::now());
  });
  Targets_->Updated_.attach([this](const std::vector<RegisteredTarget> &Fresh) {
    applyEntries(Fresh, BootClock::now());
  });
  Fleet_->TargetCrashed_.attach(
      [this](const std::string &Target, std::int64_t Incarnation) {
        recordReturn(Target, Incarnation, ColdSign::Crash, BootClock::now());
      });
  return std::monostate{};
}

const RegisteredTarget *ColdTargets::entryOf(const std::string &Target,
                                             std::int64_t Incarnation) const {
  const ListedTarget *Listed = Targets_->roster().find(Target);
  return Listed && Listed->Entry_.Incarnation_ == Incarnation ? &Listed->Entry_
                                                              : nullptr;
}

void ColdTargets::applyPlan(const ServingPlan &Plan, TimePoint Now) {
  ColdStarts_.setPlan(Plan);
  // The list may have been read before the plan.
  for (const auto &[Id, Listed] : Targets_->roster().all())
    // An entry that was applied before would start its time again.
    if (!ColdStarts_.isKnown(Id, Listed.Entry_.Incarnation_))
      report(ColdStarts_.recordEntry(Listed.Entry_, false, Now));
}

void ColdTargets::applyRosterChange(const RosterChange &Change, TimePoint Now) {
  // A target whose entry is missing may be listed again, still cold; `expire`
  // removes what is known of the others.
  if (Change.Usability_ == TargetUsability::Unlisted)
    return;
  const ListedTarget *Listed = Targets_->roster().find(Change.Id_);
  if (Listed && Change.NewIncarnation_ && HasList_)
    report(ColdStarts_.recordEntry(Listed->Entry_, true, Now));
}

void ColdTargets::applyEntries(const std::vector<RegisteredTarget> &Fresh,
                               TimePoint Now) {
  HasList_ = true;
  for (const RegisteredTarget &Entry : Fresh)
    if (entryOf(Entry.Id_, Entry.Incarnation_))
      report(ColdStarts_.recordEntry(Entry, false, Now));
  for (const ColdChange &Change : ColdStarts_.expire(Now))
    report(Change);
}

void ColdTargets::recordReturn(const std::string &Target,
                               std::int64_t Incarnation, ColdSign Sign,
                               TimePoint Now) {
  if (const RegisteredTarget *Entry = entryOf(Target, Incarnation))
    report(ColdStarts_.recordReturn(*Entry, Sign, Now));
}

void ColdTargets::recordReachable(const std::string &Target,
                                  std::int64_t Incarnation) {
  recordReturn(Target, Incarnation, ColdSign::Reachable, BootClock::now());
}

void ColdTargets::recordDataCentreReturned(const std::string &DataCentre,
                                           TimePoint Now) {
  for (const ColdChange &Change : ColdStarts_.recordDataCentreReturned(
           Targets_->roster(), DataCentre, Now))
    report(Change);
}

void ColdTargets::recordResponse(const std::string &Target,
                                 std::int64_t Incarnation, Duration Remaining,
                                 TimePoint SentAt, TimePoint Now) {
  if (const RegisteredTarget *Entry = entryOf(Target, Incarnation))
    report(ColdStarts_.recordResponse(*Entry, Remaining, SentAt, Now));
}

void ColdTargets::countSend(const std::string &Target, std::int64_t Incarnation,
                            TimePoint Now) {
  if (rateOf(Target, Incarnation, Now))
    Metrics_->count("anvil_cold_sends_total", {{"target", Target}});
}

void ColdTargets::report(const std::optional<ColdChange> &Change) {
  if (!Change)
    return;
  std::string_view Sign = enumName(Change->Sign_, ColdSignNames);
  Metrics_->count("anvil_cold_targets_total",
                  {{"now", Change->IsCold_ ? "cold" : "warm"},
                   {"sign", std::string(Sign)}});
  logEvent(LogLevel::Info, Change->IsCold_ ? "target_cold" : "target_warm",
           {{"target", Change->Target_},
            {"incarnation", Change->Incarnation_},
            {"sign", Sign},
            {"until_ms", toMillis(Change->Remaining_)},
            {"rate_per_s", Change->RequestsPerSecond_}});
}

} // namespace anvil
