#ifndef ANVIL_HTTP_SPAWN_H
#define ANVIL_HTTP_SPAWN_H

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace anvil {

/// Runs a coroutine concurrently with the caller. This program reports failures
/// as values, so an exception that leaves the coroutine violates an invariant:
/// it stops the process with the text of the exception, and is never dropped.
void spawn(const boost::asio::any_io_executor &Executor,
           boost::asio::awaitable<void> Work);

} // namespace anvil

#endif // ANVIL_HTTP_SPAWN_H
