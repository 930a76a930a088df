#include "Kernel/DecayedSum.h"

#include <algorithm>
#include <cmath>

namespace anvil {

void DecayedSum::add(double Amount, TimePoint Now) {
  Sum_ = std::max(0.0, at(Now) + Amount);
  At_ = std::max(At_, Now);
}

double DecayedSum::at(TimePoint Now) const {
  return Sum_ * std::exp(-std::max(0.0, toSeconds(Now - At_)) / Seconds_);
}

} // namespace anvil
