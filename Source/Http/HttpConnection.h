#ifndef ANVIL_HTTP_HTTPCONNECTION_H
#define ANVIL_HTTP_HTTPCONNECTION_H

#include "Http/BodyFraming.h"
#include "Http/CarriedRequests.h"
#include "Http/Endpoint.h"
#include "Http/HttpMessage.h"
#include "Http/ReceivedBody.h"
#include "Http/RelayedRoute.h"
#include "Kernel/Clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/system/error_code.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace anvil {

/// A client's connection to one server. It carries one request at a time. After
/// a timeout, a cancellation or a broken response it is closed, so that a late
/// response can't be taken for that of the next request. What it buffers is
/// bounded, whatever the server sends, and counts against a budget. Not
/// thread-safe.
class HttpConnection {
public:
  HttpConnection();
  /// What the connection buffers counts against the budget.
  explicit HttpConnection(std::shared_ptr<BufferBudget> Budget);
  ~HttpConnection();
  HttpConnection(HttpConnection &&) noexcept;
  HttpConnection &operator=(HttpConnection &&) noexcept;

  /// Connects within `Timeout`. Errors: unavailable, timeout.
  boost::asio::awaitable<Status> open(const Endpoint &Server, Duration Timeout);

  /// Connects to `Server` through a proxy, within `Timeout`: sends it a CONNECT
  /// request and returns the head of its response. Only if the status is 200,
  /// the connection is open, and then to `Server`. The end of such a connection
  /// isn't taken for the server's unless the proxy states it in a frame (see
  /// `TunnelFrame`). Errors: as for `open` and `exchange`.
  boost::asio::awaitable<Result<HttpReplyHead>>
  openThrough(const Endpoint &Proxy, const HttpRequest &Connect,
              const Endpoint &Server, Duration Timeout);

  /// The route of a connection through another VM; null for others.
  const RelayedRoute *route() const;
  void setRoute(std::unique_ptr<RelayedRoute> Route);

  /// The number of bytes that the peer's machine has acknowledged since the
  /// connection was opened; nothing if it isn't known.
  std::optional<std::uint64_t> acknowledgedBytes() const;

  /// Sends a request and reads the head of the response within `Timeout`. The
  /// `Host` header is the server's address unless the request sets it.
  /// Errors: timeout, connection closed, protocol, too large.
  boost::asio::awaitable<Result<HttpReplyHead>>
  exchange(const HttpRequest &Request, Duration Timeout) {
    return exchange(Request, Request.Body_, Timeout);
  }

  /// The same with a body that the caller keeps, in place of the request's.
  boost::asio::awaitable<Result<HttpReplyHead>>
  exchange(const HttpRequest &Request, std::string_view Body, Duration Timeout);

  /// Reads the head of another response after a complete one, without sending a
  /// request: for servers that first send the response to an earlier request.
  /// Errors: as for `exchange`.
  boost::asio::awaitable<Result<HttpReplyHead>>
  readNextResponse(Duration Timeout);

  /// Reads the next part of the body, waiting at most `Timeout`; if that is not
  /// positive, nothing is read even if bytes have arrived. An empty part is the
  /// end of the response. Errors: timeout, connection closed, protocol, too
  /// large.
  boost::asio::awaitable<Result<std::string>> readPart(Duration Timeout);

  /// Reads the rest of the body by a deadline, each part of it within
  /// `Silence`. Errors: as for `readPart`, and too large if the body exceeds
  /// its limits.
  boost::asio::awaitable<Status> readBody(ReceivedBody &Body,
                                          TimePoint Deadline,
                                          Duration Silence = Duration::max());

  /// Reads bodies of a known length in parts as large as the buffer, for
  /// servers of the platform: each part takes a turn of the event loop, which
  /// is long under load.
  void readLargeParts();

  /// Frees what an idle connection doesn't need.
  void releaseBuffers();

  /// How the end of the current response's body is marked.
  BodyFraming framing() const;

  /// Whether any byte of the last request may have reached the server.
  bool requestSent() const;

  /// Whether a request may be sent on this connection: it is open, and has
  /// carried none or only whole exchanges.
  bool reusable() const;

  /// Whether it is reusable and nothing has arrived since the last response.
  /// Unexpected bytes, the close by the server, or the word of a relay that no
  /// further request may be sent make it unusable.
  bool isIdle() const;

  /// The requests that this connection has carried. Callers whose requests have
  /// ids record them here. To be used only once the connection is open.
  CarriedRequests &carried();
  const CarriedRequests &carried() const;

  /// The incarnation of the process at the other end, where it is known: a
  /// process that ends closes its connections.
  std::optional<std::int64_t> serverIncarnation() const;
  void setServerIncarnation(std::int64_t Incarnation);

  /// Whether the connection was opened before that time, and the other end has
  /// neither closed it nor sent anything that hasn't been read.
  bool isQuietSince(TimePoint Time) const;

  /// Closes at once; pending operations fail.
  void close();

private:
  struct State;
  /// Reads the head of the next final response; interim ones before it are
  /// skipped, within the same limits.
  boost::asio::awaitable<Result<HttpReplyHead>> readHead(bool HasBody);

  /// Parses the next head and adds its size to `HeadBytes`.
  boost::asio::awaitable<Status> parseHead(bool HasBody,
                                           std::size_t &HeadBytes);

  /// Makes room for the next part of the body and returns its maximum size.
  std::size_t reservePart();

  /// Receives more bytes of the server into the buffer. The end of its
  /// connection is an error, `eof`.
  boost::asio::awaitable<boost::system::error_code> receive();
  Result<HttpReplyHead> takeHead();
  Error tooManyFields() const;
  /// Whether there is nothing to read, not even the end.
  bool isQuiet() const;
  /// Counts what is buffered. False if there is no memory for it.
  bool countBuffers();
  /// Whether what is buffered still fits the limits; closes otherwise.
  bool fitsLimits();

  std::shared_ptr<BufferBudget> Budget_;
  std::unique_ptr<State> State_;
};

/// Time limits of an exchange whose response may take long to transfer.
struct ReplyTimes {
  /// The same limit for the whole exchange, in any part of it.
  static ReplyTimes within(Duration Time) { return {Time, Time, Time}; }

  /// What is left of them once so much time has passed before the request.
  ReplyTimes after(Duration Elapsed) const {
    return {Head_ - Elapsed, Silence_, Whole_ - Elapsed};
  }

  /// From the request until the head of the response.
  Duration Head_{};
  /// Between two parts of the body.
  Duration Silence_{};
  /// For the whole exchange.
  Duration Whole_{};
};

/// Sends one request on an open connection and reads the whole response.
/// Errors: as for `HttpConnection::exchange` and `readBody`.
boost::asio::awaitable<Result<HttpReply>> readReply(HttpConnection &Connection,
                                                    const HttpRequest &Request,
                                                    ReplyTimes Times,
                                                    ReceiveLimits Limits);

/// Sends one request on a new connection and reads the whole response, all
/// within `Timeout`.
boost::asio::awaitable<Result<HttpReply>> fetch(Endpoint Server,
                                                HttpRequest Request,
                                                Duration Timeout,
                                                ReceiveLimits Limits = {});

/// The same with separate time limits. Opening the connection is part of the
/// time until the head of the response.
boost::asio::awaitable<Result<HttpReply>> fetch(Endpoint Server,
                                                HttpRequest Request,
                                                ReplyTimes Times,
                                                ReceiveLimits Limits);

} // namespace anvil

#endif // ANVIL_HTTP_HTTPCONNECTION_H
