#ifndef ANVIL_HTTP_HTTPSERVER_H
#define ANVIL_HTTP_HTTPSERVER_H

#include "Http/Endpoint.h"
#include "Http/HttpExchange.h"
#include "Http/HttpServerLimits.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace anvil {

/// Builds the response to a request that is malformed, or for which there is no
/// memory (status 503), from the status and the reason.
using MalformedHook =
    std::function<HttpReply(int Status, std::string_view Reason)>;

/// The numbers of connections that were open when `HttpServer::close` was
/// called.
struct ClosedConnections {
  /// Connections without a request. A request that has already arrived on one
  /// still gets its response.
  std::size_t IdleCount_ = 0;
  /// Connections that stay open until the response to their request is sent.
  std::size_t BusyCount_ = 0;
};

/// A response to malformed requests that has the reason as its text.
HttpReply plainRejection(int Status, std::string_view Reason);

/// HTTP/1.1 server: accepts connections and passes each request to a handler.
class HttpServer {
public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

  HttpServer(boost::asio::any_io_executor Executor, HttpServerLimits Limits,
             Handler Handle);
  ~HttpServer();

  /// Sets the function that builds the response to malformed requests.
  void setMalformedHook(MalformedHook Hook);

  /// Changes the limits. Connections apply them from their next request on.
  void setLimits(HttpServerLimits Limits);

  /// Takes an address; connections are refused until `listen`. Does nothing if
  /// an address is taken. Errors: conflict (in use), unavailable.
  Status bind(const Endpoint &Address);

  /// Starts to listen, at the address taken or else at this one. Errors: as
  /// `bind`.
  Status listen(const Endpoint &Address);

  /// The port that the server listens on.
  std::uint16_t port() const;

  /// Makes each response from now on close its connection. Idle connections
  /// stay open until their next request or `close`.
  void beginDrain();

  /// Closes the connections whose tag `IsEnded` accepts: idle ones at once,
  /// those with a request after its response. Connections without a tag stay
  /// open.
  void closeTagged(const std::function<bool(const std::string &)> &IsEnded);

  /// Stops accepting and closes the connections: idle ones at once, those with
  /// a request after its response. A request that has partly arrived still gets
  /// one.
  ClosedConnections close();

  /// The number of requests being read or handled.
  std::size_t runningRequests() const;

  /// The number of open connections. Once it is zero after `close`, no further
  /// request can arrive.
  std::size_t openConnections() const;

private:
  struct Core;
  std::shared_ptr<Core> Core_;
};

} // namespace anvil

#endif // ANVIL_HTTP_HTTPSERVER_H
