#ifndef ANVIL_HTTP_WAITLIST_H
#define ANVIL_HTTP_WAITLIST_H

#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <list>

namespace anvil {

/// Coroutines that wait for the next change of a state. Each looks at the state
/// again when it goes on.
class WaitList {
public:
  /// Suspends the coroutine until the next `notify`, at most until `Until`.
  boost::asio::awaitable<void> waitUntil(TimePoint Until);

  /// Lets all waiting coroutines go on.
  void notify();

  bool empty() const { return Timers_.empty(); }

private:
  std::list<boost::asio::steady_timer *> Timers_;
};

} // namespace anvil

#endif // ANVIL_HTTP_WAITLIST_H
