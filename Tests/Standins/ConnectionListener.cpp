#include "Standins/ConnectionListener.h"

#include "Http/BoundAddress.h"
#include "Http/Spawn.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

ConnectionListener::ConnectionListener(asio::any_io_executor Executor,
                                       ServeHook Serve)
    : Executor_(std::move(Executor)), Acceptor_(Executor_),
      Serve_(std::move(Serve)) {}

Status ConnectionListener::listen(const Endpoint &Address) {
  Status Bound = bindAcceptor(Acceptor_, Address);
  if (!isOk(Bound))
    return Bound;
  Status Listening = listenAt(Acceptor_, Address);
  if (isOk(Listening))
    spawn(Executor_, accept());
  return Listening;
}

std::uint16_t ConnectionListener::port() const {
  return Acceptor_.local_endpoint().port();
}

asio::awaitable<void> ConnectionListener::accept() {
  while (true) {
    error_code Cause;
    tcp::socket Caller = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause)
      co_return;
    Caller.set_option(tcp::no_delay(true), Cause);
    spawn(Executor_, Serve_(std::move(Caller)));
  }
}

} // namespace anvil
