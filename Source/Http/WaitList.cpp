#include "Http/WaitList.h"

#include "Http/Pause.h"

#include <boost/asio/this_coro.hpp>

namespace anvil {

namespace asio = boost::asio;

asio::awaitable<void> WaitList::waitUntil(TimePoint Until) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  auto Place = Timers_.insert(Timers_.end(), &Timer);
  co_await pauseFor(Timer, Until - BootClock::now());
  Timers_.erase(Place);
}

void WaitList::notify() {
  for (asio::steady_timer *Timer : Timers_)
    Timer->cancel();
}

} // namespace anvil
