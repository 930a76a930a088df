#ifndef ANVIL_TESTS_STANDINS_CONNECTIONLISTENER_H
#define ANVIL_TESTS_STANDINS_CONNECTIONLISTENER_H

#include "Http/Endpoint.h"
#include "Kernel/Error.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>

namespace anvil {

/// Accepts connections for a stand-in that reads and writes them itself.
class ConnectionListener {
public:
  using ServeHook =
      std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket)>;

  ConnectionListener(boost::asio::any_io_executor Executor, ServeHook Serve);

  /// Serves each connection in a coroutine of its own.
  Status listen(const Endpoint &Address);
  std::uint16_t port() const;

private:
  boost::asio::awaitable<void> accept();

  boost::asio::any_io_executor Executor_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  ServeHook Serve_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_CONNECTIONLISTENER_H
