#include "Standins/WeightStoreStandin.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The interval at which a waiting transfer checks the limits.
static constexpr Duration LimitCheckInterval = std::chrono::milliseconds(5);

WeightStoreStandin::WeightStoreStandin(asio::any_io_executor Executor,
                                       WeightStoreLimits Limits)
    : Executor_(Executor), Limits_(Limits),
      Rate_(Limits.LoadsPerSecond_, 1, 1, BootClock::now()),
      Server_(std::move(Executor), HttpServerLimits{},
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {}

asio::awaitable<void> WeightStoreStandin::waitForLimits() {
  asio::steady_timer Timer(Executor_);
  while (Loading_ >= Limits_.ConcurrentLoads_ ||
         !Rate_.take(1, BootClock::now())) {
    Timer.expires_after(LimitCheckInterval);
    co_await Timer.async_wait(asio::use_awaitable);
  }
}

asio::awaitable<void> WeightStoreStandin::handle(HttpExchange &Exchange) {
  if (Exchange.request().path() == "/records") {
    nlohmann::json Counters{{"loads", Loads_},
                            {"most_in_transit", PeakInTransit_}};
    co_await Exchange.respond(jsonReply(200, Counters.dump()));
    co_return;
  }
  ++InTransit_;
  PeakInTransit_ = std::max(PeakInTransit_, InTransit_);
  co_await waitForLimits();
  ++Loading_;
  ++Loads_;
  std::int64_t EffectiveTransfers =
      std::max(InTransit_, Limits_.FullRateTransfers_);
  asio::steady_timer Timer(Executor_);
  Timer.expires_after(std::chrono::milliseconds(
      Limits_.LoadMs_ * EffectiveTransfers / Limits_.FullRateTransfers_));
  co_await Timer.async_wait(asio::use_awaitable);
  --Loading_;
  --InTransit_;
  co_await Exchange.respond(jsonReply(200, "{}"));
}

} // namespace anvil
