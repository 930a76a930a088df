#include "Balancing/StaleLoadDetector.h"

namespace anvil {

/// The time constant of the request rate: long enough for a VM with one request
/// a second, short enough to follow a burst.
static constexpr double RateSeconds = 4;

void StaleLoadDetector::recordRequest(const std::string &Service,
                                      TimePoint Now) {
  Requests_.try_emplace(Service, RateSeconds).first->second.add(1, Now);
}

bool StaleLoadDetector::isStale(const std::string &Service,
                                const LoadReporting &Reporting, int Slots,
                                TimePoint Now) const {
  auto Found = Requests_.find(Service);
  if (Found == Requests_.end())
    return false;
  double PerSecond = Found->second.at(Now) / RateSeconds *
                     static_cast<double>(Reporting.Vms_ - 1);
  return PerSecond * toSeconds(Reporting.Period_) > Slots;
}

} // namespace anvil
