#include "Standins/WeightStoreStandin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// How often a waiting transfer looks whether it is its turn.
static constexpr Duration TurnCheckPeriod = std::chrono::milliseconds(5);

WeightStoreStandin::WeightStoreStandin(asio::any_io_executor Executor,
                                       WeightStoreLimits Limits)
    : Executor_(Executor), Limits_(Limits),
      Rate_(Limits.LoadsPerSecond_, 1, 1, BootClock::now()),
      Server_(std::move(Executor), HttpServerLimits{},
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {}

asio::awaitable<void> WeightStoreStandin::awaitTurn() {
  asio::steady_timer Timer(Executor_);
  while (Loading_ >= Limits_.ConcurrentLoads_ ||
         !Rate_.take(1, BootClock::now())) {
    Timer.expires_after(TurnCheckPeriod);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> WeightStoreStandin::handle(HttpExchange &Exchange) {
  if (Exchange.request().path() == "/records") {
    nlohmann::json Seen{{"loads", Loads_}, {"most_in_transit", MostInTransit_}};
    co_await Exchange.respond(jsonReply(200, Seen.dump()));
    co_return;
  }
  ++InTransit_;
  MostInTransit_ = std::max(MostInTransit_, InTransit_);
  co_await awaitTurn();
  ++Loading_;
  ++Loads_;
  std::int64_t Slowed = std::max(InTransit_, Limits_.InTransit_);
  asio::steady_timer Timer(Executor_);
  Timer.expires_after(
      std::chrono::milliseconds(Limits_.LoadMs_ * Slowed / Limits_.InTransit_));
  co_await Timer.async_wait(asio::use_awaitable);
  --Loading_;
  --InTransit_;
  co_await Exchange.respond(jsonReply(200, "{}"));
}

} // namespace anvil
