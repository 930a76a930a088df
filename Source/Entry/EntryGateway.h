#ifndef ANVIL_ENTRY_ENTRYGATEWAY_H
#define ANVIL_ENTRY_ENTRYGATEWAY_H

#include "Entry/RequestRun.h"
#include "Http/HttpServer.h"
#include "Kernel/ServiceRegistry.h"
#include "Settings/EntrySettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace anvil {

/// Accepts callers' requests, admits them and serves them; also serves the
/// balancer's health check and the metrics.
class EntryGateway : public Service {
public:
  static constexpr std::string_view Name = "entry_gateway";

  EntryGateway(boost::asio::any_io_executor Executor,
               const EntrySettings &Settings, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }
  Status claimResources() override;
  Status start() override;
  void stop() override;

  /// Reports not ready from now on and closes each connection after its reply.
  void beginDrain();

  /// Refuses requests that are received from now on and whose deadline is after
  /// `StopAt`, when this VM stops serving.
  void refuseBeyond(TimePoint StopAt);

  /// Stops accepting connections and closes those without a request.
  void closeIdle();

  /// Ends all requests, also those received later, with a final reply; cuts
  /// streams that have begun.
  void endRequests() { Shared_.endRequests(); }

  /// The ports in use, by the name of the listener.
  std::map<std::string, std::uint16_t> ports() const;

  std::size_t runningRequests() const { return Callers_.runningRequests(); }

  /// Callers' connections that are still open, and connections that this VM
  /// relays. Once this is zero after `closeIdle`, no more requests can arrive.
  std::size_t openConnections() const {
    return Callers_.openConnections() + Shared_.Reach_->relayedConnections();
  }

private:
  /// Why a request is not admitted.
  struct Refusal {
    int Status_ = 503;
    std::string_view Reason_;
    std::optional<Duration> RetryAfter_;
  };

  /// The limits of callers under a plan, or before there is one.
  HttpServerLimits callerLimits(const ServingPlan *Plan) const;
  /// Builds the reply to a request that could not be read.
  HttpReply rejectUnread(int Status, std::string_view Reason);
  boost::asio::awaitable<void> handle(HttpExchange &Exchange);
  /// Serves the metrics once their address is free; requests don't wait for it.
  boost::asio::awaitable<void> openMetrics();
  boost::asio::awaitable<void> respondReady(HttpExchange &Exchange);
  /// Waits until no request may start on the versions before an adapter's
  /// newest one, and ends those that still wait at a target for that.
  boost::asio::awaitable<void> endOutdatedWaits(std::string Model,
                                                std::string Adapter);
  std::optional<Refusal> admit(const HttpRequest &Request,
                               EntryRequest &Admitted);
  std::optional<Refusal> admitKey(EntryRequest &Admitted);
  std::optional<Refusal> admitCharge(EntryRequest &Admitted);
  double chargeOf(const EntryRequest &Admitted) const;
  std::string notReadyReason() const;

  boost::asio::any_io_executor Executor_;
  const EntrySettings &Settings_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<EngineOwnershipService> Owners_;
  RequestServices Shared_;
  std::shared_ptr<BufferBudget> CallerBudget_;
  HttpServer Callers_;
  HttpServer Ready_;
  HttpServer MetricsPage_;
  bool Draining_ = false;
  /// When this VM stops serving; set by `refuseBeyond`.
  std::optional<TimePoint> StopAt_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_ENTRYGATEWAY_H
