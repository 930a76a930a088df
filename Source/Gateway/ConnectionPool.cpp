#include "Gateway/ConnectionPool.h"

namespace anvil {

/// How long a connection is kept without a request.
static constexpr Duration IdleTime = std::chrono::seconds(5);

/// How often connections that are idle for too long are looked for.
static constexpr Duration PrunePeriod = std::chrono::seconds(1);

/// The most idle connections to one server and to all.
static constexpr std::size_t MostToOne = 8;
static constexpr std::size_t MostToAll = 512;

HttpConnection ConnectionPool::take(const Endpoint &Server, TimePoint Now) {
  prune(Now);
  auto Found = Servers_.find(Server.text());
  if (Found == Servers_.end())
    return HttpConnection();
  // The one used last is the least likely to have been closed.
  while (!Found->second.empty()) {
    HttpConnection Kept = std::move(Found->second.back().Connection_);
    Found->second.pop_back();
    --Size_;
    if (Kept.isIdle())
      return Kept;
  }
  return HttpConnection();
}

void ConnectionPool::give(const Endpoint &Server, HttpConnection Used,
                          TimePoint Now) {
  prune(Now);
  if (!Used.reusable() || Size_ >= MostToAll)
    return;
  auto &Kept = Servers_[Server.text()];
  if (Kept.size() >= MostToOne)
    return;
  Kept.push_back({std::move(Used), Now});
  ++Size_;
}

void ConnectionPool::prune(TimePoint Now) {
  if (Now < NextPrune_)
    return;
  NextPrune_ = Now + PrunePeriod;
  for (auto Server = Servers_.begin(); Server != Servers_.end();) {
    auto &Kept = Server->second;
    while (!Kept.empty() && Kept.front().Since_ + IdleTime <= Now) {
      Kept.pop_front();
      --Size_;
    }
    Server = Kept.empty() ? Servers_.erase(Server) : std::next(Server);
  }
}

} // namespace anvil
