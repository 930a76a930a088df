#ifndef ANVIL_HTTP_CONNECTIONPOOL_H
#define ANVIL_HTTP_CONNECTIONPOOL_H

#include "Http/HttpConnection.h"

#include <deque>
#include <map>
#include <string>

namespace anvil {

/// Idle connections to targets and other servers. Callers decide which requests
/// use one: when a kept connection breaks it can't be known whether the request
/// ran.
class ConnectionPool {
public:
  /// A connection to that server, or one that is not open yet.
  HttpConnection take(const Endpoint &Server, TimePoint Now);

  /// Keeps a connection if another request may follow on it, for `Keep` at the
  /// most.
  void give(const Endpoint &Server, HttpConnection Used, TimePoint Now,
            Duration Keep = MostIdleTime);

  /// How long a connection is kept without a request at the most.
  static constexpr Duration MostIdleTime = std::chrono::seconds(10);

  std::size_t size() const { return Size_; }

private:
  struct Idle {
    HttpConnection Connection_;
    TimePoint Until_{};
  };

  void prune(TimePoint Now);

  std::map<std::string, std::deque<Idle>> Servers_;
  std::size_t Size_ = 0;
  TimePoint NextPrune_{};
};

/// Sends one request on a kept connection, or a new one, and reads the whole
/// answer; all of it must end within `Timeout`. The connection is kept after a
/// whole answer. Errors: as for `fetch`.
boost::asio::awaitable<Result<HttpReply>> fetchKept(ConnectionPool &Pool,
                                                    Endpoint Server,
                                                    HttpRequest Request,
                                                    Duration Timeout);

} // namespace anvil

#endif // ANVIL_HTTP_CONNECTIONPOOL_H
