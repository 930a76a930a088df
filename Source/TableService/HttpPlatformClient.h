#ifndef ANVIL_TABLESERVICE_HTTPPLATFORMCLIENT_H
#define ANVIL_TABLESERVICE_HTTPPLATFORMCLIENT_H

#include "Http/Endpoint.h"
#include "Http/HttpMessage.h"
#include "Kernel/Clock.h"
#include "TableService/CircuitBreaker.h"
#include "TableService/PlatformService.h"
#include "Telemetry/Metrics.h"

#include <memory>
#include <string>

namespace anvil {

/// The address of the platform, the call timeout and the circuit breaker's
/// limits.
struct PlatformClientOptions {
  Endpoint Server_;
  Duration Timeout_ = std::chrono::seconds(1);
  int CircuitFailures_ = 5;
  Duration CircuitOpen_ = std::chrono::seconds(2);
};

/// Client of the platform's HTTP interface. A transaction whose reply is lost
/// is reported as ambiguous and never retried here.
class HttpPlatformClient : public PlatformService {
public:
  HttpPlatformClient(PlatformClientOptions Options,
                     std::shared_ptr<Metrics> MetricSink);

  boost::asio::awaitable<Result<std::vector<TableRow>>>
  read(std::vector<std::string> Keys) override;
  boost::asio::awaitable<Result<std::vector<TableRow>>>
  scan(std::string Prefix, std::string After, std::size_t Limit) override;
  boost::asio::awaitable<CommitOutcome>
  commit(TableTransaction Transaction) override;
  boost::asio::awaitable<Status> putObject(std::string ObjectName,
                                           std::string Bytes) override;
  boost::asio::awaitable<Result<std::string>>
  getObject(std::string ObjectName) override;
  boost::asio::awaitable<Result<std::vector<VmRecord>>> listVms() override;
  bool reachable() const override { return Reachable_; }

private:
  boost::asio::awaitable<Result<HttpReply>> call(std::string_view Operation,
                                                 HttpRequest Request);

  PlatformClientOptions Options_;
  std::shared_ptr<Metrics> Metrics_;
  CircuitBreaker Circuit_;
  bool Reachable_ = false;
};

} // namespace anvil

#endif // ANVIL_TABLESERVICE_HTTPPLATFORMCLIENT_H
