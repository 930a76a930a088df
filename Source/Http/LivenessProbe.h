#ifndef ANVIL_HTTP_LIVENESSPROBE_H
#define ANVIL_HTTP_LIVENESSPROBE_H

#include "Http/Endpoint.h"
#include "Kernel/Clock.h"
#include "Kernel/Error.h"

#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Checks that the process at an address is alive: opens a connection, ends
/// this side of it and waits for the process to do something with it. An open
/// connection alone shows nothing, since the system of a process that ends
/// closes its connections before its port. A process that does nothing within
/// `Timeout` counts as alive, as it may be busy. Errors: connection closed, if
/// the connection is refused or reset; timeout, if it can't be opened.
boost::asio::awaitable<Status> checkAlive(Endpoint Server, Duration Timeout);

} // namespace anvil

#endif // ANVIL_HTTP_LIVENESSPROBE_H
