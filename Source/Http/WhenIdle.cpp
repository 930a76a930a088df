#include "Http/WhenIdle.h"

namespace anvil {

/// How often `IsIdle` is checked.
static constexpr Duration CheckPeriod = std::chrono::milliseconds(50);

void callWhenIdle(boost::asio::steady_timer &Timer, TimePoint Deadline,
                  std::function<bool()> IsIdle, std::function<void()> Then) {
  if (IsIdle() || BootClock::now() >= Deadline) {
    Then();
    return;
  }
  Timer.expires_after(CheckPeriod);
  Timer.async_wait([&Timer, Deadline, IsIdle = std::move(IsIdle),
                    Then = std::move(Then)](auto) mutable {
    callWhenIdle(Timer, Deadline, std::move(IsIdle), std::move(Then));
  });
}

} // namespace anvil
