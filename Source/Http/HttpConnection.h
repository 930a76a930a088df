#ifndef ANVIL_HTTP_HTTPCONNECTION_H
#define ANVIL_HTTP_HTTPCONNECTION_H

#include "Http/Endpoint.h"
#include "Http/HttpMessage.h"
#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace anvil {

/// A client's connection to one server. It carries one request at a time; after
/// a timeout, a cancel or a broken answer it is closed, so that a late answer
/// has nowhere to go. Not for use by several threads.
class HttpConnection {
public:
  HttpConnection();
  ~HttpConnection();
  HttpConnection(HttpConnection &&) noexcept;
  HttpConnection &operator=(HttpConnection &&) noexcept;

  /// Connects within `Timeout`. Errors: unavailable, timeout.
  boost::asio::awaitable<Status> open(const Endpoint &Server, Duration Timeout);

  /// Sends a request and reads the head of the answer within `Timeout`. The
  /// server's address is the host unless the request names one.
  /// Errors: timeout, connection closed, protocol.
  boost::asio::awaitable<Result<HttpReplyHead>>
  exchange(const HttpRequest &Request, Duration Timeout);

  /// Reads the head of one more answer, after the whole answer before it: for
  /// servers that send an old answer late. Errors: as for `exchange`.
  boost::asio::awaitable<Result<HttpReplyHead>> nextAnswer(Duration Timeout);

  /// Reads more of the body, waiting at most `Timeout`. An empty part is the
  /// end of the answer. Errors: timeout, connection closed, protocol.
  boost::asio::awaitable<Result<std::string>> readPart(Duration Timeout);

  /// Whether a byte of the last request may have reached the server.
  bool requestSent() const;

  /// Whether another request may follow on this connection.
  bool reusable() const;

  /// Whether it is open and nothing has arrived on it since the last answer.
  /// Bytes that did, and an end of the connection, make it unusable.
  bool isIdle() const;

  /// Closes at once; what waits on the connection ends with an error.
  void close();

private:
  struct State;
  boost::asio::awaitable<Result<HttpReplyHead>> readHead(bool BodyFollows);

  std::unique_ptr<State> State_;
};

/// The largest body that `fetch` accepts, in bytes.
inline constexpr std::size_t FetchBodyLimitBytes = 64 * 1024 * 1024;

/// Sends one request on an open connection and reads the whole answer by a
/// deadline.
boost::asio::awaitable<Result<HttpReply>> readReply(HttpConnection &Connection,
                                                    const HttpRequest &Request,
                                                    TimePoint Deadline);

/// Sends one request on a connection of its own and reads the whole answer.
/// All of it must end within `Timeout`.
boost::asio::awaitable<Result<HttpReply>>
fetch(Endpoint Server, HttpRequest Request, Duration Timeout);

} // namespace anvil

#endif // ANVIL_HTTP_HTTPCONNECTION_H
