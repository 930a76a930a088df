#ifndef ANVIL_HTTP_CONNECTIONPOOL_H
#define ANVIL_HTTP_CONNECTIONPOOL_H

#include "Http/HttpConnection.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace anvil {

/// Pool of idle connections to targets and other servers. Callers decide which
/// requests may use it: if a reused connection breaks, it is unknown whether
/// the request ran.
class ConnectionPool {
public:
  /// Replies on its connections are read within the limits.
  explicit ConnectionPool(ReceiveLimits Limits = {})
      : Limits_(std::move(Limits)) {}

  const ReceiveLimits &limits() const { return Limits_; }

  /// Returns an idle connection to the server, or one that is not open yet.
  HttpConnection acquireConnection(const Endpoint &Server, TimePoint Now);

  /// The same for a request with an id: returns a connection on which the
  /// answer can't be mistaken for that of an earlier request.
  HttpConnection acquireConnection(const Endpoint &Server, TimePoint Now,
                                   std::string_view RequestId);

  /// The same with a further condition.
  using Filter = std::function<bool(const HttpConnection &, Duration IdleFor)>;
  HttpConnection acquireConnection(const Endpoint &Server, TimePoint Now,
                                   std::string_view RequestId,
                                   const Filter &IsSuitable);

  /// Closes the connections that have been idle for too long, and those that
  /// their servers have closed. Otherwise that happens when the pool is used.
  void closeExpired(TimePoint Now);

  /// Closes all idle connections to a server.
  void dropConnections(const Endpoint &Server);

  /// Returns a connection to the pool if it is reusable and may carry more
  /// requests. It is kept for at most `Keep`.
  void returnConnection(const Endpoint &Server, HttpConnection Used,
                        TimePoint Now, Duration Keep = MaxIdleTime);

  /// Whether an idle connection to the server that was opened before that time
  /// is still open.
  bool hasOpenConnection(const Endpoint &Server, TimePoint OpenedBefore) const;

  /// The maximum time that an idle connection is kept.
  static constexpr Duration MaxIdleTime = std::chrono::seconds(10);

  std::size_t size() const { return Size_; }

private:
  struct Idle {
    HttpConnection Connection_;
    TimePoint Since_{};
    TimePoint Until_{};
  };

  HttpConnection acquire(const Endpoint &Server, TimePoint Now,
                         const Filter &IsSuitable);
  void prune(TimePoint Now);
  /// Closes the connections that the function names.
  void closeIf(const std::function<bool(const Idle &)> &IsClosed);

  ReceiveLimits Limits_;
  std::map<std::string, std::deque<Idle>> Servers_;
  std::size_t Size_ = 0;
  TimePoint NextPrune_{};
};

/// Sends one request on a pooled or a new connection and reads the whole
/// response, all within `Timeout`. Returns the connection to the pool if it
/// succeeds. Errors: as for `fetch`.
boost::asio::awaitable<Result<HttpReply>> fetchPooled(ConnectionPool &Pool,
                                                      Endpoint Server,
                                                      HttpRequest Request,
                                                      Duration Timeout);

/// The same with separate time limits. Opening a connection is part of the time
/// until the head of the response.
boost::asio::awaitable<Result<HttpReply>> fetchPooled(ConnectionPool &Pool,
                                                      Endpoint Server,
                                                      HttpRequest Request,
                                                      ReplyTimes Times);

} // namespace anvil

#endif // ANVIL_HTTP_CONNECTIONPOOL_H
