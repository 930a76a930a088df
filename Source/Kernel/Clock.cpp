#include "Kernel/Clock.h"

#include <ctime>

namespace anvil {

BootClock::time_point BootClock::now() noexcept {
  timespec Now{};
  clock_gettime(CLOCK_BOOTTIME, &Now);
  auto SinceBoot =
      std::chrono::seconds(Now.tv_sec) + std::chrono::nanoseconds(Now.tv_nsec);
  return time_point(std::chrono::duration_cast<Duration>(SinceBoot));
}

std::int64_t toMillis(Duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

double toSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

} // namespace anvil
