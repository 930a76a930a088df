#ifndef ANVIL_ENTRY_FLEETLIMITS_H
#define ANVIL_ENTRY_FLEETLIMITS_H

#include "Routing/TargetLimits.h"

#include <cstdint>
#include <optional>
#include <string>

namespace anvil {

/// What targets state that they take, joined with what other VMs report, with
/// log lines: the rate limits of targets, and the services whose targets are
/// brittle.
class FleetLimits {
public:
  FleetLimits();

  /// Records the rate limit that a target states in its reply to a request
  /// sent at `SentAt`, or that it states none.
  void recordLimit(const std::string &Target, std::int64_t Incarnation,
                   std::optional<double> RatePerSecond, TimePoint SentAt,
                   TimePoint Now);

  /// Records that a target of a service states in its reply to a request sent
  /// at `SentAt` how many rejections per second it survives, or that it states
  /// nothing.
  void recordBrittle(const std::string &Service,
                     std::optional<double> Rejections, TimePoint SentAt,
                     TimePoint Now);

  /// Applies the reports of another VM or data centre.
  void applyReports(const AdvertisedLimits &Limits,
                    const AdvertisedLimits &Brittle, const std::string &Source,
                    TimePoint Now);

  /// What was stated or withdrawn within the last `Span`, for the other VMs.
  AdvertisedLimits limitReports(Duration Span, TimePoint Now) const;
  AdvertisedLimits brittleReports(Duration Span, TimePoint Now) const;

  /// Forgets what was withdrawn long ago.
  void prune(TimePoint Now);

  const TargetLimits &targets() const { return Targets_; }

  /// The rejections per second that the service's targets survive; nothing if
  /// they aren't brittle.
  std::optional<double> survivedRejections(const std::string &Service) const {
    return Brittle_.rateOf(Service, 0);
  }

private:
  TargetLimits Targets_;
  /// The rejections per second, by service.
  TargetLimits Brittle_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETLIMITS_H
