#ifndef ANVIL_HTTP_PAUSE_H
#define ANVIL_HTTP_PAUSE_H

#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

namespace anvil {

/// Suspends the coroutine for a time.
boost::asio::awaitable<void> pauseFor(Duration Time);

/// Suspends the coroutine, using the caller's timer; cancelling the timer ends
/// the pause.
boost::asio::awaitable<void> pauseFor(boost::asio::steady_timer &Timer,
                                      Duration Time);

} // namespace anvil

#endif // ANVIL_HTTP_PAUSE_H
