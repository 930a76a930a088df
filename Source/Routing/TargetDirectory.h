#ifndef ANVIL_ROUTING_TARGETDIRECTORY_H
#define ANVIL_ROUTING_TARGETDIRECTORY_H

#include "Kernel/Clock.h"
#include "Kernel/ServiceRegistry.h"

#include <map>
#include <set>
#include <string>

namespace anvil {

/// What is known of a target; the report may be old.
struct TargetReport {
  std::string Target_;
  /// A new value means that the target restarted and lost what it held.
  std::string Incarnation_;
  /// Adapter versions in memory, as `adapter@version`.
  std::set<std::string> Resident_;
  std::int64_t Running_ = 0;
  std::int64_t Waiting_ = 0;
  bool Reachable_ = true;
  /// The VM that owns the target and told this; empty when this VM asked the
  /// target itself.
  std::string Owner_;
  /// How long a request of the lowest class would wait for a slot.
  Duration EstimatedWait_{0};
  /// Adapters so wanted that a second target should hold them as well.
  std::set<std::string> Crowded_;
  /// When this VM took the report in.
  TimePoint ReportedAt_{};
};

/// The latest report of each target.
class TargetDirectory : public Service {
public:
  static constexpr std::string_view Name = "target_directory";

  std::string_view serviceName() const override { return Name; }

  /// Takes a report in place of the one before.
  void update(TargetReport Report);

  /// The latest report, or null.
  const TargetReport *find(const std::string &Target) const;

  const std::map<std::string, TargetReport> &all() const { return Reports_; }

private:
  std::map<std::string, TargetReport> Reports_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETDIRECTORY_H
