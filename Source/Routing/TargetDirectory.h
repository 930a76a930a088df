#ifndef ANVIL_ROUTING_TARGETDIRECTORY_H
#define ANVIL_ROUTING_TARGETDIRECTORY_H

#include "Kernel/Clock.h"
#include "Kernel/ServiceRegistry.h"

#include <map>
#include <set>
#include <string>

namespace anvil {

/// The last known state of a target; it may be stale.
struct TargetReport {
  std::string Target_;
  /// Changes when the target restarts and loses the adapters it held.
  std::string Incarnation_;
  /// Adapter versions in memory, as `adapter@version`.
  std::set<std::string> Resident_;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  bool Reachable_ = true;
  /// The VM that owns the target and sent this report; empty when this VM
  /// queried the target itself.
  std::string Owner_;
  /// The time that a request of the lowest class would wait for a slot.
  Duration EstimatedWait_{0};
  /// Adapters with enough demand that a second target should load them too.
  std::set<std::string> HighDemand_;
  /// When this VM received the report.
  TimePoint ReportedAt_{};
};

/// Holds the latest report of each target.
class TargetDirectory : public Service {
public:
  static constexpr std::string_view Name = "target_directory";

  std::string_view serviceName() const override { return Name; }

  /// Replaces the target's report.
  void update(TargetReport Report);

  /// The target's latest report, or null.
  const TargetReport *find(const std::string &Target) const;

  const std::map<std::string, TargetReport> &all() const { return Reports_; }

private:
  std::map<std::string, TargetReport> Reports_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETDIRECTORY_H
