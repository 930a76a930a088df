#ifndef ANVIL_CAPACITY_SPEEDREPORT_H
#define ANVIL_CAPACITY_SPEEDREPORT_H

#include <cstdint>
#include <map>
#include <string>

namespace anvil {

/// What a VM, or in a summary a data centre, reports of a target's speed.
struct SpeedReport {
  std::int64_t Incarnation_ = 0;
  /// A hundred times the logarithm of the time that work takes there, relative
  /// to a usual target of its service: the mean of the VM's measurements since
  /// its last report, or the data centre's estimate.
  std::int32_t LogTimeCents_ = 0;

  bool operator==(const SpeedReport &) const = default;
};

/// Speed reports by target.
using SpeedReports = std::map<std::string, SpeedReport>;

} // namespace anvil

#endif // ANVIL_CAPACITY_SPEEDREPORT_H
