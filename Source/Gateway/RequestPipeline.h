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

/// Serves callers: listens, admits each request, charges and claims it, runs it
/// on targets and answers. It finds the deciding services by their names.
class RequestPipeline : public Service {
public:
  static constexpr std::string_view Name = "request_pipeline";

  RequestPipeline(boost::asio::any_io_executor Executor,
                  const DaemonSettings &Settings,
                  const ServiceRegistry &Services);
  ~RequestPipeline() override;

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// The port that callers use.
  std::uint16_t port() const;

  /// From now on answers close their connections.
  void beginDrain();

  /// The number of requests being served.
  std::size_t runningRequests() const;

  /// Callers' connections that have not ended. None has a request to come once
  /// this is zero after `stop`.
  std::size_t openConnections() const;

  /// Ends the running repeatable requests whose key `IsBelieved` denies and
  /// logs how many there were as the event `Why`.
  void endRequests(std::string_view Why,
                   const std::function<bool(const std::string &)> &IsBelieved);

  /// The admission step, for parts that add their checks to it.
  RequestAdmission &admission() { return Admission_; }

private:
  /// How a request ended, for logs and metrics.
  struct Summary {
    int Status_ = 0;
    std::string Refusal_;
    std::string Target_;
    double UsedTokens_ = 0;
    Duration FirstByte_{0};
  };

  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  boost::asio::awaitable<void> serve(HttpExchange &Exchange,
                                     const AdmittedRequest &Admitted,
                                     Summary &Ended);
  boost::asio::awaitable<void> runClaimed(HttpExchange &Exchange,
                                          const AdmittedRequest &Admitted,
                                          ClaimToken Claim, Summary &Ended);
  boost::asio::awaitable<Outcome<TryOutcome>>
  runOnTargets(HttpExchange &Exchange, const AdmittedRequest &Admitted,
               Summary &Ended);
  boost::asio::awaitable<Outcome<Permit>>
  acquirePermit(const RequestContext &Request, std::set<std::string> &Tried);
  boost::asio::awaitable<TryOutcome> runOnce(HttpExchange &Exchange,
                                             const AdmittedRequest &Admitted,
                                             const Permit &Held);
  std::optional<Refusal> stopBeforeDispatch(const HttpExchange &Exchange,
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
