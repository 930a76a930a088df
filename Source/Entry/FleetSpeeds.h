#ifndef ANVIL_ENTRY_FLEETSPEEDS_H
#define ANVIL_ENTRY_FLEETSPEEDS_H

#include "Capacity/TargetSpeeds.h"
#include "Entry/TargetListService.h"
#include "Telemetry/Metrics.h"

#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// The speeds of the listed targets, joined with what other VMs report, with
/// log lines and metrics.
class FleetSpeeds {
public:
  FleetSpeeds(std::shared_ptr<TargetListService> Targets,
              std::shared_ptr<Metrics> MetricsService)
      : Targets_(std::move(Targets)), Metrics_(std::move(MetricsService)) {}

  TargetSpeeds &speeds() { return Speeds_; }
  const TargetSpeeds &speeds() const { return Speeds_; }

  /// The factor by which work takes longer at the listed incarnation of a
  /// target than at its service's median target.
  double factorOf(const std::string &Target, TimePoint Now) const;

  /// Derives the speeds anew if they are due, and takes the reports for the
  /// other VMs of the data centre.
  SpeedReports composeReports(TimePoint Now);

  /// Applies the reports of a VM of the same data centre, or the estimates of
  /// another one.
  void applyReports(const SpeedReports &Reports, TimePoint Now);
  void applyEstimates(const SpeedReports &Estimates, TimePoint Now);

private:
  void update(TimePoint Now);
  std::optional<MeasuredTarget> listedTarget(const std::string &Target,
                                             std::int64_t Incarnation) const;

  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<Metrics> Metrics_;
  TargetSpeeds Speeds_;
  TimePoint UpdatedAt_{};
};

} // namespace anvil

#endif // ANVIL_ENTRY_FLEETSPEEDS_H
