#include "Entry/FleetLimits.h"

#include "Telemetry/Log.h"

#include <functional>
#include <string_view>

namespace anvil {

/// For how long the end of a target's rate limit is remembered, so that an
/// older report of the limit doesn't restore it.
static constexpr Duration LimitRetention = std::chrono::seconds(30);

/// How long no target of a service must have stated that it is brittle before
/// an answer without that statement ends it for the service: all its targets
/// state it, but may begin a little apart.
static constexpr Duration BrittleEndGrace = std::chrono::milliseconds(500);

static void logLimit(const std::string &Target, const AdvertisedLimit &Stated,
                     std::string_view Source) {
  logEvent(LogLevel::Info, "target_limit",
           {{"target", Target},
            {"incarnation", Stated.Incarnation_},
            {"rate_per_s", Stated.RatePerSecond_.value_or(-1)},
            {"in_force", Stated.RatePerSecond_.has_value()},
            {"told_by", Source},
            {"age_ms", toMillis(Stated.Age_)}});
}

static void logBrittle(const std::string &Service,
                       const AdvertisedLimit &Stated, std::string_view Source) {
  logEvent(LogLevel::Info, "service_brittle",
           {{"service", Service},
            {"survived_rejections_per_s", Stated.RatePerSecond_.value_or(-1)},
            {"in_force", Stated.RatePerSecond_.has_value()},
            {"told_by", Source},
            {"age_ms", toMillis(Stated.Age_)}});
}

using LogHook = std::function<void(const std::string &, const AdvertisedLimit &,
                                   std::string_view)>;

static void applyTo(TargetLimits &Known, const AdvertisedLimits &Reports,
                    const std::string &Source, TimePoint Now,
                    const LogHook &LogChange) {
  for (const auto &[Name, Reported] : Reports)
    if (Known.updateFromPeer(Name, Reported, Now))
      LogChange(Name, Reported, Source);
}

FleetLimits::FleetLimits() : Brittle_(BrittleEndGrace) {}

void FleetLimits::recordLimit(const std::string &Target,
                              std::int64_t Incarnation,
                              std::optional<double> RatePerSecond,
                              TimePoint SentAt, TimePoint Now) {
  if (Targets_.updateFromResponse(Target, Incarnation, RatePerSecond, SentAt,
                                  Now))
    logLimit(Target, {Incarnation, RatePerSecond, {}}, "answer");
}

void FleetLimits::recordBrittle(const std::string &Service,
                                std::optional<double> Rejections,
                                TimePoint SentAt, TimePoint Now) {
  if (Brittle_.updateFromResponse(Service, 0, Rejections, SentAt, Now))
    logBrittle(Service, {0, Rejections, {}}, "answer");
}

void FleetLimits::applyReports(const AdvertisedLimits &Limits,
                               const AdvertisedLimits &Brittle,
                               const std::string &Source, TimePoint Now) {
  applyTo(Targets_, Limits, Source, Now, logLimit);
  applyTo(Brittle_, Brittle, Source, Now, logBrittle);
}

AdvertisedLimits FleetLimits::limitReports(Duration Span, TimePoint Now) const {
  return Targets_.statedWithin(Span, Now);
}

AdvertisedLimits FleetLimits::brittleReports(Duration Span,
                                             TimePoint Now) const {
  return Brittle_.statedWithin(Span, Now);
}

void FleetLimits::prune(TimePoint Now) {
  Targets_.prune(LimitRetention, Now);
  Brittle_.prune(LimitRetention, Now);
}

} // namespace anvil
