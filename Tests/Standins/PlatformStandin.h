#ifndef ANVIL_TESTS_STANDINS_PLATFORMSTANDIN_H
#define ANVIL_TESTS_STANDINS_PLATFORMSTANDIN_H

#include "Http/HttpServer.h"
#include "Standins/RequestRecord.h"
#include "TableService/PlatformService.h"

#include <map>
#include <string>

namespace anvil {

/// In-memory stand-in for the platform: table, object store and list of VMs.
/// `POST /control` with `{"delay_ms", "down", "lose_answers"}` delays requests,
/// makes it unreachable, or applies that many commits without replying. `PUT
/// /vms` sets the list of VMs.
class PlatformStandin {
public:
  explicit PlatformStandin(boost::asio::any_io_executor Executor);

  Status listen(const Endpoint &Address) { return Server_.listen(Address); }
  std::uint16_t port() const { return Server_.port(); }

private:
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  HttpReply control(const HttpRequest &Request);
  HttpReply dispatch(const HttpRequest &Request);
  HttpReply read(const HttpRequest &Request);
  HttpReply scan(const HttpRequest &Request);
  HttpReply commit(const HttpRequest &Request);
  HttpReply objects(const HttpRequest &Request);
  TableRow rowOf(const std::string &Key) const;

  std::map<std::string, TableRow> Rows_;
  std::map<std::string, std::string> Objects_;
  std::vector<VmRecord> Vms_;
  std::uint64_t NextVersion_ = 1;
  std::int64_t DelayMs_ = 0;
  bool Down_ = false;
  std::int64_t LoseReplies_ = 0;
  RequestRecords Records_;
  HttpServer Server_;
};

} // namespace anvil

#endif // ANVIL_TESTS_STANDINS_PLATFORMSTANDIN_H
