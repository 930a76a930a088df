#ifndef ANVIL_GATEWAY_REQUESTPIPELINE_H
#define ANVIL_GATEWAY_REQUESTPIPELINE_H

#include "Gateway/ActiveRequests.h"
#include "Gateway/RequestAdmission.h"
#include "Gateway/TargetDispatcher.h"
#include "Http/ConnectionPool.h"
#include "Http/HttpServer.h"
#include "Requests/PermitBroker.h"
#include "Requests/PoisonGuard.h"
#include "Requests/QuotaGate.h"
#include "Requests/RequestLedger.h"
#include "Requests/TargetSelector.h"
#include "Settings/DaemonSettings.h"
#include "Telemetry/Metrics.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace anvil {

/// Serves callers in standalone mode: admits each request, charges the quota,
/// claims it in the ledger, runs it on targets and sends the response. Quota,
/// permits, target selection and the ledger are looked up in the service
/// registry.
class RequestPipeline : public Service {
public:
  static constexpr std::string_view Name = "request_pipeline";

  RequestPipeline(boost::asio::any_io_executor Executor,
                  const DaemonSettings &Settings,
                  const ServiceRegistry &Services);
  ~RequestPipeline() override;

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status claimResources() override { return Server_.bind(address()); }
  Status start() override { return Server_.listen(address()); }
  void stop() override;

  /// The port that callers connect to.
  std::uint16_t port() const;

  /// Makes each response from now on close its connection.
  void beginDrain();

  /// The number of requests being served.
  std::size_t runningRequests() const;

  /// The number of callers' connections that have not ended. Once this is zero
  /// after `stop`, no further request can arrive.
  std::size_t openConnections() const;

  /// Cancels the running repeatable requests whose key `IsAccepted` rejects,
  /// and logs their number as the event `EventName`.
  void endRequests(std::string_view EventName,
                   const std::function<bool(const std::string &)> &IsAccepted);

  /// The admission step, to which other components add checks.
  RequestAdmission &admission() { return Admission_; }

private:
  Endpoint address() const;
  /// The outcome of a request, for logs and metrics.
  struct Summary {
    int Status_ = 0;
    std::string Refusal_;
    std::string Target_;
    double UsedTokens_ = 0;
    Duration TimeToFirstByte_{0};
  };

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> serve(HttpExchange &Exchange,
                                     const AdmittedRequest &Admitted,
                                     Summary &Ended);
  boost::asio::awaitable<void> runClaimed(HttpExchange &Exchange,
                                          const AdmittedRequest &Admitted,
                                          ClaimToken Claim, Summary &Ended);
  boost::asio::awaitable<Outcome<AttemptOutcome>>
  runOnTargets(HttpExchange &Exchange, const AdmittedRequest &Admitted,
               Summary &Ended);
  boost::asio::awaitable<Outcome<Permit>>
  acquirePermit(const RequestContext &Request,
                std::set<std::string> &TriedTargets);
  boost::asio::awaitable<AttemptOutcome>
  runOnce(HttpExchange &Exchange, const AdmittedRequest &Admitted,
          const Permit &Held);
  std::optional<Refusal> checkBeforeDispatch(const HttpExchange &Exchange,
                                             const RequestContext &Request);
  boost::asio::awaitable<void> refuse(HttpExchange &Exchange,
                                      const Refusal &Given,
                                      const std::string &RequestId,
                                      Summary &Ended);
  void report(const RequestContext &Request, const Summary &Ended);

  const DaemonSettings &Settings_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<Metrics> Metrics_;
  std::shared_ptr<QuotaGate> Quota_;
  std::shared_ptr<PermitBroker> Permits_;
  std::shared_ptr<TargetSelector> Selector_;
  std::shared_ptr<RequestLedger> Ledger_;
  std::shared_ptr<PoisonGuard> Poison_;
  RequestAdmission Admission_;
  TargetDispatcher Dispatcher_;
  ConnectionPool Connections_;
  ActiveRequests Active_;
  HttpServer Server_;
  std::string IdPrefix_;
  std::uint64_t NextId_ = 1;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_REQUESTPIPELINE_H
