#ifndef ANVIL_HTTP_PAUSE_H
#define ANVIL_HTTP_PAUSE_H

#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace anvil {

/// Suspends the coroutine for a time.
boost::asio::awaitable<void> pauseFor(Duration Time);

/// The same with a timer of the caller's, which ends the pause if cancelled.
boost::asio::awaitable<void> pauseFor(boost::asio::steady_timer &Timer,
                                      Duration Time);

} // namespace anvil

#endif // ANVIL_HTTP_PAUSE_H
