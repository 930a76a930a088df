#ifndef ANVIL_GATEWAY_CONNECTIONPOOL_H
#define ANVIL_GATEWAY_CONNECTIONPOOL_H

#include "Http/HttpConnection.h"

#include <deque>
#include <map>
#include <string>

namespace anvil {

/// Idle connections to targets, for requests that may be repeated. Others take
/// a connection of their own: when a kept one breaks it can't be known whether
/// the request ran.
class ConnectionPool {
public:
  /// A connection to that server, or one that is not open yet.
  HttpConnection take(const Endpoint &Server, TimePoint Now);

  /// Keeps a connection if another request may follow on it.
  void give(const Endpoint &Server, HttpConnection Used, TimePoint Now);

  std::size_t size() const { return Size_; }

private:
  struct Idle {
    HttpConnection Connection_;
    TimePoint Since_{};
  };

  void prune(TimePoint Now);

  std::map<std::string, std::deque<Idle>> Servers_;
  std::size_t Size_ = 0;
  TimePoint NextPrune_{};
};

} // namespace anvil

#endif // ANVIL_GATEWAY_CONNECTIONPOOL_H
