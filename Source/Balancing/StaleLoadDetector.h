#ifndef ANVIL_BALANCING_STALELOADDETECTOR_H
#define ANVIL_BALANCING_STALELOADDETECTOR_H

#include "Kernel/Clock.h"
#include "Kernel/DecayedSum.h"

#include <cstddef>
#include <map>
#include <string>

namespace anvil {

/// How the loads of a service's targets become known to this VM.
struct LoadReporting {
  /// The number of VMs that send requests to the targets, this one included; at
  /// least one.
  std::size_t Vms_ = 1;
  /// The interval at which the other VMs report what they run.
  Duration Period_{};
};

/// Decides whether the loads that VMs report to each other are out of date when
/// they are used. This is so once the VMs send more requests between two
/// reports than a target has slots: choosing the least loaded target then sends
/// all of them to the same one. Covers short requests in large fleets.
class StaleLoadDetector {
public:
  /// Records a request of this VM to the service.
  void recordRequest(const std::string &Service, TimePoint Now);

  /// Whether reported loads are out of date for targets with `Slots` slots. The
  /// rate of the other VMs is estimated from this VM's own rate.
  bool isStale(const std::string &Service, const LoadReporting &Reporting,
               int Slots, TimePoint Now) const;

private:
  /// The recent requests, by service.
  std::map<std::string, DecayedSum> Requests_;
};

} // namespace anvil

#endif // ANVIL_BALANCING_STALELOADDETECTOR_H
