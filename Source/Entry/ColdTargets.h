#ifndef ANVIL_ENTRY_COLDTARGETS_H
#define ANVIL_ENTRY_COLDTARGETS_H

#include "Entry/FleetState.h"
#include "Evacuation/ColdStarts.h"
#include "Kernel/ServiceRegistry.h"
#include "Telemetry/Metrics.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// Feeds `ColdStarts` with what this VM learns of targets, and logs which turn
/// cold and warm.
class ColdTargets : public Service {
public:
  static constexpr std::string_view Name = "cold_targets";

  explicit ColdTargets(const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status start() override;

  /// Records that a target that was unreachable takes connections again.
  void recordReachable(const std::string &Target, std::int64_t Incarnation);

  /// Records that the evacuation of a data centre has ended.
  void recordDataCentreReturned(const std::string &DataCentre, TimePoint Now);

  /// Records the time left that a target states in its response to a request
  /// that was sent at `SentAt`.
  void recordResponse(const std::string &Target, std::int64_t Incarnation,
                      Duration Remaining, TimePoint SentAt, TimePoint Now);

  /// Counts a request that is sent to the target if it is cold.
  void countSend(const std::string &Target, std::int64_t Incarnation,
                 TimePoint Now);

  /// The requests per second that a cold incarnation takes; no value while it
  /// is warm.
  std::optional<double> rateOf(const std::string &Target,
                               std::int64_t Incarnation, TimePoint Now) const {
    return ColdStarts_.rateOf(Target, Incarnation, Now);
  }

private:
  /// The entry of a listed incarnation, or null.
  const RegisteredTarget *entryOf(const std::string &Target,
                                  std::int64_t Incarnation) const;
  void recordReturn(const std::string &Target, std::int64_t Incarnation,
                    ColdSign Sign, TimePoint Now);
  void applyEntries(const std::vector<RegisteredTarget> &Fresh, TimePoint Now);
  void applyRosterChange(const RosterChange &Change, TimePoint Now);
  void applyPlan(const ServingPlan &Plan, TimePoint Now);
  void report(const std::optional<ColdChange> &Change);

  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<Metrics> Metrics_;
  ColdStarts ColdStarts_;
  /// Whether this VM had the list before the changes that are being applied.
  bool HasList_ = false;
};

} // namespace anvil

#endif // ANVIL_ENTRY_COLDTARGETS_H
