#ifndef ANVIL_ENTRY_PAUSE_H
#define ANVIL_ENTRY_PAUSE_H

#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Suspends the coroutine for a time.
boost::asio::awaitable<void> pauseFor(Duration Time);

/// A random number in [0, 1).
double randomPart();

} // namespace anvil

#endif // ANVIL_ENTRY_PAUSE_H
