#ifndef ANVIL_HTTP_HTTPSERVER_H
#define ANVIL_HTTP_HTTPSERVER_H

#include "Http/Endpoint.h"
#include "Http/HttpExchange.h"
#include "Kernel/Clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string_view>

namespace anvil {

/// The limits that a server sets its callers.
struct HttpServerLimits {
  std::uint32_t HeadBytes_ = 16 * 1024;
  std::uint64_t BodyBytes_ = 8 * 1024 * 1024;
  /// The time for the head of a request to arrive once it has begun.
  Duration HeadTime_ = std::chrono::seconds(15);
  /// The time for the body to arrive after it.
  Duration BodyTime_ = std::chrono::seconds(15);
  /// How long a connection may stay open between requests.
  Duration IdleTime_ = std::chrono::seconds(75);
};

/// What the server answers to input it can't read: status and reason.
using MalformedHook =
    std::function<HttpReply(int Status, std::string_view Reason)>;

/// The connections that `HttpServer::close` found.
struct ClosedConnections {
  /// Those without a request. One is still answered if its request has arrived.
  std::size_t Closed_ = 0;
  /// Those that stay until their request is answered.
  std::size_t Kept_ = 0;
};

/// Accepts HTTP/1.1 connections and passes each request to a handler.
class HttpServer {
public:
  using Handler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

  HttpServer(boost::asio::any_io_executor Executor, HttpServerLimits Limits,
             Handler Handle);
  ~HttpServer();

  /// Sets the answer to malformed requests.
  void onMalformed(MalformedHook Hook);

  /// Changes the limits; connections take them from their next request on.
  void setLimits(HttpServerLimits Limits);

  /// Listens. The error says why the address can't be used.
  Status listen(const Endpoint &Address);

  /// The port that the server listens on.
  std::uint16_t port() const;

  /// Answers from now on close their connections; idle connections stay until
  /// their next request or `close`.
  void beginDrain();

  /// Ends the connections whose mark `IsEnded` names: idle ones at once, those
  /// with a request after its answer. Connections without a mark stay.
  void closeTagged(const std::function<bool(const std::string &)> &IsEnded);

  /// Stops accepting and ends the connections: idle ones at once, those with a
  /// request after its answer. A request that has begun to arrive is answered.
  ClosedConnections close();

  /// The number of requests being read or handled.
  std::size_t runningRequests() const;

  /// The number of connections that have not ended. After `close` there are no
  /// further requests once it is zero.
  std::size_t openConnections() const;

private:
  struct Core;
  std::shared_ptr<Core> Core_;
};

} // namespace anvil

#endif // ANVIL_HTTP_HTTPSERVER_H
