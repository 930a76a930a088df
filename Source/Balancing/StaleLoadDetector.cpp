#include "Balancing/StaleLoadDetector.h"

#include <cmath>

namespace anvil {

/// The time constant of the request rate: long enough for a VM with one request
/// a second, short enough to follow a burst.
static constexpr double RateSeconds = 4;

double StaleLoadDetector::decayed(const Rate &Known, TimePoint Now) {
  return Known.Requests_ * std::exp(-toSeconds(Now - Known.At_) / RateSeconds);
}

void StaleLoadDetector::recordRequest(const std::string &Service,
                                      TimePoint Now) {
  Rate &Known = Rates_[Service];
  Known = {decayed(Known, Now) + 1, Now};
}

bool StaleLoadDetector::isStale(const std::string &Service,
                                const LoadReporting &Reporting, int Slots,
                                TimePoint Now) const {
  auto Found = Rates_.find(Service);
  if (Found == Rates_.end())
    return false;
  double PerSecond = decayed(Found->second, Now) / RateSeconds *
                     static_cast<double>(Reporting.Vms_ - 1);
  return PerSecond * toSeconds(Reporting.Period_) > Slots;
}

} // namespace anvil
