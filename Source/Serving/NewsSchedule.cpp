#include "Serving/NewsSchedule.h"

#include <algorithm>

namespace anvil {

/// How often news go out among few VMs.
static constexpr Duration LeastPeriod = std::chrono::milliseconds(100);

/// What each other VM adds to the period.
static constexpr Duration PeriodPerListener = std::chrono::milliseconds(12);

/// For how long news count at the least.
static constexpr Duration LeastTime = std::chrono::milliseconds(1500);

/// What a datagram's way and a busy sender may add.
static constexpr Duration Travel = std::chrono::milliseconds(300);

Duration newsPeriod(std::size_t Listeners) {
  return std::max<Duration>(LeastPeriod,
                            PeriodPerListener * static_cast<int>(Listeners));
}

Duration newsTime(Duration Period) {
  return std::max<Duration>(LeastTime, Period * 3 + Travel);
}

Duration reachTime(Duration Period) { return Period * 2 + Travel; }

} // namespace anvil
