#ifndef ANVIL_TESTS_STANDINS_WEIGHTSTORESTANDIN_H
#define ANVIL_TESTS_STANDINS_WEIGHTSTORESTANDIN_H

#include "Admission/TokenBucket.h"
#include "Http/HttpServer.h"

namespace anvil {

/// Rate and concurrency limits of a weight store.
struct WeightStoreLimits {
  double LoadsPerSecond_ = 5;
  std::int64_t ConcurrentLoads_ = 2;
  /// Up to this number of transfers, each takes `LoadMs_`; beyond it, the time
  /// grows in proportion.
  std::int64_t FullRateTransfers_ = 16;
  std::int64_t LoadMs_ = 250;
};

/// Stand-in for the store that engines fetch weights from: `GET /weights/NAME`
/// replies when the simulated transfer is complete. Requests beyond the rate or
/// concurrency limit wait, and count as in transit while they do.
class WeightStoreStandin {
public:
  WeightStoreStandin(boost::asio::any_io_executor Executor,
                     WeightStoreLimits Limits);

  Status listen(const Endpoint &Address) { return Server_.listen(Address); }
  std::uint16_t port() const { return Server_.port(); }

private:
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> waitForLimits();

  boost::asio::any_io_executor Executor_;
  WeightStoreLimits Limits_;
  TokenBucket Rate_;
  std::int64_t InTransit_ = 0;
  std::int64_t Loading_ = 0;
  std::int64_t PeakInTransit_ = 0;
  std::int64_t Loads_ = 0;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_WEIGHTSTORESTANDIN_H
