#ifndef ANVIL_TESTS_STANDINS_SERVICESTANDIN_H
#define ANVIL_TESTS_STANDINS_SERVICESTANDIN_H

#include "Http/HttpServer.h"
#include "Standins/RequestRecord.h"

namespace anvil {

/// Stand-in for a plain service: records each call and replies with its number.
/// `POST /control` with `{"delay_ms", "drop_answers"}` delays replies, or runs
/// that many calls without replying.
class ServiceStandin {
public:
  explicit ServiceStandin(boost::asio::any_io_executor Executor);

  Status listen(const Endpoint &Address) { return Server_.listen(Address); }
  std::uint16_t port() const { return Server_.port(); }

private:
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);

  std::int64_t DelayMs_ = 0;
  std::int64_t DropReplies_ = 0;
  std::int64_t Calls_ = 0;
  RequestRecords Records_;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_SERVICESTANDIN_H
