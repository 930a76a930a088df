#ifndef ANVIL_HTTP_SPAWN_H
#define ANVIL_HTTP_SPAWN_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Runs a coroutine to its end beside the caller. Failures are values in this
/// program, so an exception that leaves the coroutine breaks an invariant and
/// stops the process with its text; it is never lost.
void spawn(const boost::asio::any_io_executor &Executor,
           boost::asio::awaitable<void> Work);

} // namespace anvil

#endif // ANVIL_HTTP_SPAWN_H
