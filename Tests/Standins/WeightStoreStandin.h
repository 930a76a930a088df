#ifndef ANVIL_TESTS_STANDINS_WEIGHTSTORESTANDIN_H
#define ANVIL_TESTS_STANDINS_WEIGHTSTORESTANDIN_H

#include "Admission/TokenBucket.h"
#include "Http/HttpServer.h"

namespace anvil {

/// The limits of a weight store.
struct WeightStoreLimits {
  double LoadsPerSecond_ = 5;
  std::int64_t ConcurrentLoads_ = 2;
  /// Transfers up to this many take `LoadMs_`, more are slower in proportion.
  std::int64_t InTransit_ = 16;
  std::int64_t LoadMs_ = 250;
};

/// The store that engine stand-ins fetch weights from: `GET /weights/NAME`
/// answers when the transfer would be over. Requests beyond the rate or the
/// concurrency wait, and count as in transit while they do.
class WeightStoreStandin {
public:
  WeightStoreStandin(boost::asio::any_io_executor Executor,
                     WeightStoreLimits Limits);

  Status listen(const Endpoint &Address) { return Server_.listen(Address); }
  std::uint16_t port() const { return Server_.port(); }

private:
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> awaitTurn();

  boost::asio::any_io_executor Executor_;
  WeightStoreLimits Limits_;
  TokenBucket Rate_;
  std::int64_t InTransit_ = 0;
  std::int64_t Loading_ = 0;
  std::int64_t MostInTransit_ = 0;
  std::int64_t Loads_ = 0;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_WEIGHTSTORESTANDIN_H
