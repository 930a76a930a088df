#include "Entry/EntryDaemon.h"

#include "Entry/ColdTargets.h"
#include "Entry/EngineOwnershipService.h"
#include "Entry/EntryGateway.h"
#include "Entry/FleetLink.h"
#include "Entry/FleetState.h"
#include "Entry/PlanExchange.h"
#include "Entry/PlanService.h"
#include "Entry/ReachService.h"
#include "Entry/ReceiveBudgets.h"
#include "Entry/StoreReadRelay.h"
#include "Entry/StreamVersionService.h"
#include "Entry/TargetListService.h"
#include "Entry/TargetPermits.h"
#include "Entry/TargetPicker.h"
#include "Http/WhenIdle.h"
#include "Objects/Digest.h"
#include "Serving/StopSchedule.h"
#include "Telemetry/Log.h"
#include "Telemetry/Metrics.h"
#include "platform/StoreClient.h"

namespace anvil {

/// The maximum size of one answer of the store. Tables are read in pages.
static constexpr std::size_t StoreReplyBytes = 8 * 1024 * 1024;

EntryDaemon::EntryDaemon(EntrySettings Settings)
    : Settings_(std::move(Settings)), Incarnation_(randomHex(8)), Loop_(1),
      TimerDriver_(Loop_.get_executor(), Timers_,
                   [] { return BootClock::now(); }),
      Runner_(Loop_, Services_), StopTimer_(Loop_) {
  Runner_.onStarted([this] {
    logEvent(LogLevel::Info, "started",
             {{"incarnation", Incarnation_},
              {"data_centre", Settings_.DataCentre_}});
  });
  Runner_.onStop([this] { beginStop(); });
  auto Executor = Loop_.get_executor();
  auto MetricsService = std::make_shared<Metrics>();
  Services_.add(MetricsService);
  constexpr std::size_t BytesPerMb = 1024 * 1024;
  auto Budgets = std::make_shared<ReceiveBudgets>(
      static_cast<std::size_t>(Settings_.MemoryMb_) * BytesPerMb,
      MetricsService);
  Services_.add(Budgets);
  // The settings were checked, so the address parses.
  auto StoreAddress =
      std::get<Endpoint>(parseEndpoint(Settings_.Store_.Address_));
  auto Store = std::make_shared<platform::StoreClient>(
      StoreAddress, std::chrono::milliseconds(Settings_.Store_.TimeoutMs_),
      MetricsService, ReceiveLimits{StoreReplyBytes, Budgets->control()});
  Services_.add(Store);
  Services_.add(std::make_shared<PlanService>(Executor, Settings_, Store));
  Services_.add(
      std::make_shared<TargetListService>(Executor, Settings_, Store));
  Services_.add(std::make_shared<FleetLink>(Executor, Settings_, Timers_));
  Services_.add(std::make_shared<FleetState>(Settings_, Settings_.holderName(),
                                             Incarnation_, Services_));
  Services_.add(
      std::make_shared<ReachService>(Executor, Settings_, Timers_, Services_));
  Services_.add(std::make_shared<EngineOwnershipService>(
      Executor, Settings_, Incarnation_, Services_));
  Services_.add(std::make_shared<PlanExchange>(Executor, Settings_, Services_));
  Services_.add(
      std::make_shared<StoreReadRelay>(Settings_, Incarnation_, Services_));
  Services_.add(std::make_shared<ColdTargets>(Services_));
  Services_.add(std::make_shared<TargetPermits>(Settings_, Services_));
  Services_.add(std::make_shared<TargetPicker>(Settings_, Services_));
  Services_.add(std::make_shared<StreamVersionService>(
      Executor, Settings_, Incarnation_, Services_));
  Services_.add(std::make_shared<EntryGateway>(Executor, Settings_, Services_));
}

EntryDaemon::~EntryDaemon() = default;

Status EntryDaemon::run(std::function<Status()> Report) {
  return Runner_.run(stopLimit(), std::move(Report));
}

Duration EntryDaemon::stopLimit() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Settings_.Bounds_.StopTimeoutS_));
}

std::map<std::string, std::uint16_t> EntryDaemon::ports() const {
  auto Ports = Services_.require<EntryGateway>(EntryGateway::Name)->ports();
  Ports["peer"] = Services_.require<FleetLink>(FleetLink::Name)->port();
  return Ports;
}

void EntryDaemon::beginStop() {
  auto Gateway = Services_.require<EntryGateway>(EntryGateway::Name);
  logEvent(LogLevel::Info, "stopping",
           {{"running_requests", Gateway->runningRequests()}});
  Gateway->beginDrain();
  Services_.require<FleetState>(FleetState::Name)->markStopping();
  StopSchedule Steps(stopLimit());
  FinalRepliesAt_ = BootClock::now() + Steps.finalReplies();
  StopTimer_.expires_after(Steps.refuseLong());
  StopTimer_.async_wait([this, Steps](auto) {
    Services_.require<EntryGateway>(EntryGateway::Name)
        ->refuseBeyond(FinalRepliesAt_);
    // The balancer keeps sending new connections until its next check.
    StopTimer_.expires_after(Steps.idleClose() - Steps.refuseLong());
    StopTimer_.async_wait([this](auto) {
      Services_.require<EntryGateway>(EntryGateway::Name)->closeIdle();
      waitForRequests();
    });
  });
}

void EntryDaemon::waitForRequests() {
  auto Gateway = Services_.require<EntryGateway>(EntryGateway::Name);
  callWhenIdle(
      StopTimer_, FinalRepliesAt_,
      [Gateway] { return Gateway->openConnections() == 0; },
      [this, Gateway] {
        Gateway->endRequests();
        waitForReplies();
      });
}

void EntryDaemon::waitForReplies() {
  auto Gateway = Services_.require<EntryGateway>(EntryGateway::Name);
  // Counted from now, since a busy VM may get here late.
  callWhenIdle(
      StopTimer_, BootClock::now() + StopSchedule::FinalReplyTime,
      [Gateway] { return Gateway->openConnections() == 0; },
      [this, Gateway] {
        logEvent(LogLevel::Info, "stopped",
                 {{"requests_cut", Gateway->runningRequests()}});
        Runner_.finish();
      });
}

} // namespace anvil
