#include "Http/ConnectionPool.h"

#include <algorithm>

namespace anvil {

/// How often expired connections are closed.
static constexpr Duration PrunePeriod = std::chrono::seconds(1);

/// The maximum number of idle connections per server and in total.
static constexpr std::size_t MaxIdlePerServer = 16;
static constexpr std::size_t MaxIdleTotal = 512;

HttpConnection ConnectionPool::acquireConnection(const Endpoint &Server,
                                                 TimePoint Now) {
  return acquire(Server, Now,
                 [](const HttpConnection &, Duration) { return true; });
}

HttpConnection ConnectionPool::acquireConnection(const Endpoint &Server,
                                                 TimePoint Now,
                                                 std::string_view RequestId) {
  return acquireConnection(
      Server, Now, RequestId,
      [](const HttpConnection &, Duration) { return true; });
}

HttpConnection ConnectionPool::acquireConnection(const Endpoint &Server,
                                                 TimePoint Now,
                                                 std::string_view RequestId,
                                                 const Filter &IsSuitable) {
  return acquire(Server, Now,
                 [&](const HttpConnection &Pooled, Duration IdleFor) {
                   return Pooled.carried().canIdentify(RequestId) &&
                          IsSuitable(Pooled, IdleFor);
                 });
}

void ConnectionPool::closeExpired(TimePoint Now) {
  closeIf([&](const Idle &Item) {
    return Item.Until_ <= Now || !Item.Connection_.isIdle();
  });
}

void ConnectionPool::dropConnections(const Endpoint &Server) {
  auto Found = Servers_.find(Server.text());
  if (Found == Servers_.end())
    return;
  Size_ -= Found->second.size();
  Servers_.erase(Found);
}

bool ConnectionPool::hasOpenConnection(const Endpoint &Server,
                                       TimePoint OpenedBefore) const {
  auto Found = Servers_.find(Server.text());
  return Found != Servers_.end() &&
         std::ranges::any_of(Found->second, [&](const Idle &Item) {
           return Item.Connection_.isQuietSince(OpenedBefore);
         });
}

HttpConnection ConnectionPool::acquire(const Endpoint &Server, TimePoint Now,
                                       const Filter &IsSuitable) {
  prune(Now);
  auto Found = Servers_.find(Server.text());
  if (Found == Servers_.end())
    return HttpConnection(Limits_.Budget_);
  // The one used most recently is the least likely to have been closed by the
  // server.
  auto &Pooled = Found->second;
  for (std::size_t Index = Pooled.size(); Index-- > 0;) {
    if (!IsSuitable(Pooled[Index].Connection_, Now - Pooled[Index].Since_))
      continue;
    Idle Last = std::move(Pooled[Index]);
    Pooled.erase(Pooled.begin() + static_cast<std::ptrdiff_t>(Index));
    --Size_;
    if (Last.Until_ > Now && Last.Connection_.isIdle())
      return std::move(Last.Connection_);
  }
  return HttpConnection(Limits_.Budget_);
}

void ConnectionPool::returnConnection(const Endpoint &Server,
                                      HttpConnection Used, TimePoint Now,
                                      Duration Keep) {
  prune(Now);
  bool IsKept =
      Used.reusable() && Used.carried().mayCarryMore() && Size_ < MaxIdleTotal;
  if (!IsKept)
    return;
  auto &Pooled = Servers_[Server.text()];
  if (Pooled.size() >= MaxIdlePerServer)
    return;
  Used.releaseBuffers();
  Pooled.push_back({std::move(Used), Now, Now + std::min(Keep, MaxIdleTime)});
  ++Size_;
}

void ConnectionPool::prune(TimePoint Now) {
  if (Now < NextPrune_)
    return;
  NextPrune_ = Now + PrunePeriod;
  closeIf([&](const Idle &Item) { return Item.Until_ <= Now; });
}

void ConnectionPool::closeIf(
    const std::function<bool(const Idle &)> &IsClosed) {
  for (auto Server = Servers_.begin(); Server != Servers_.end();) {
    auto &Pooled = Server->second;
    Size_ -= std::erase_if(Pooled, IsClosed);
    Server = Pooled.empty() ? Servers_.erase(Server) : std::next(Server);
  }
}

boost::asio::awaitable<Result<HttpReply>> fetchPooled(ConnectionPool &Pool,
                                                      Endpoint Server,
                                                      HttpRequest Request,
                                                      Duration Timeout) {
  co_return co_await fetchPooled(Pool, std::move(Server), std::move(Request),
                                 ReplyTimes::within(Timeout));
}

boost::asio::awaitable<Result<HttpReply>> fetchPooled(ConnectionPool &Pool,
                                                      Endpoint Server,
                                                      HttpRequest Request,
                                                      ReplyTimes Times) {
  TimePoint StartedAt = BootClock::now();
  HttpConnection Connection = Pool.acquireConnection(Server, BootClock::now());
  if (!Connection.reusable()) {
    Status Opened = co_await Connection.open(Server, Times.Head_);
    if (!isOk(Opened))
      co_return errorOf(Opened);
    Times = Times.after(BootClock::now() - StartedAt);
  }
  auto Reply = co_await readReply(Connection, Request, Times, Pool.limits());
  if (isOk(Reply))
    Pool.returnConnection(Server, std::move(Connection), BootClock::now());
  co_return Reply;
}

} // namespace anvil
