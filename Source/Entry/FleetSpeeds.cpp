#include "Entry/FleetSpeeds.h"

#include "Kernel/EnumNames.h"
#include "Telemetry/Log.h"

#include <algorithm>
#include <span>

namespace anvil {

/// How often the speed classes of targets are derived anew, and how many
/// changes are logged each time.
static constexpr Duration UpdatePeriod = std::chrono::milliseconds(250);
static constexpr std::size_t MaxLoggedChanges = 10;

static void logChanges(const std::vector<SpeedClassChange> &Changes) {
  std::size_t Logged = std::min(Changes.size(), MaxLoggedChanges);
  for (const SpeedClassChange &Change : std::span(Changes).first(Logged))
    logEvent(LogLevel::Info, "target_speed",
             {{"target", Change.Target_.Id_},
              {"incarnation", Change.Target_.Incarnation_},
              {"service", Change.Target_.Service_},
              {"before", enumName(Change.Before_, SpeedClassNames)},
              {"class", enumName(Change.After_, SpeedClassNames)},
              {"factor", Change.Factor_},
              {"samples", Change.Samples_},
              {"age_ms", toMillis(Change.Age_)}});
  if (Logged < Changes.size())
    logEvent(LogLevel::Info, "target_speeds_unlogged",
             {{"changes", Changes.size() - Logged}});
}

double FleetSpeeds::factorOf(const std::string &Target, TimePoint Now) const {
  const ListedTarget *Listed = Targets_->roster().find(Target);
  return Listed ? Speeds_.factorOf(Target, Listed->Entry_.Incarnation_, Now)
                : 1;
}

void FleetSpeeds::update(TimePoint Now) {
  if (UpdatedAt_ + UpdatePeriod > Now)
    return;
  UpdatedAt_ = Now;
  logChanges(Speeds_.update(Now));
  for (const auto &[Key, Count] : Speeds_.counts()) {
    std::string Class(enumName(Key.second, SpeedClassNames));
    Metrics_->gauge("anvil_targets_by_speed",
                    {{"service", Key.first}, {"class", std::move(Class)}},
                    Count);
  }
}

SpeedReports FleetSpeeds::composeReports(TimePoint Now) {
  update(Now);
  return Speeds_.takeReports(Now);
}

std::optional<MeasuredTarget>
FleetSpeeds::listedTarget(const std::string &Target,
                          std::int64_t Incarnation) const {
  const ListedTarget *Listed = Targets_->roster().find(Target);
  if (!Listed || Listed->Entry_.Incarnation_ != Incarnation)
    return std::nullopt;
  return MeasuredTarget{Target, Incarnation, Listed->Entry_.Service_};
}

void FleetSpeeds::applyReports(const SpeedReports &Reports, TimePoint Now) {
  for (const auto &[Target, Report] : Reports)
    if (auto Listed = listedTarget(Target, Report.Incarnation_))
      Speeds_.applyReport(*Listed, Report.LogTimeCents_, Now);
}

void FleetSpeeds::applyEstimates(const SpeedReports &Estimates, TimePoint Now) {
  for (const auto &[Target, Report] : Estimates)
    if (auto Listed = listedTarget(Target, Report.Incarnation_))
      Speeds_.applyRemoteEstimate(*Listed, Report.LogTimeCents_, Now);
}

} // namespace anvil
