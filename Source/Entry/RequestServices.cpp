#include "Entry/RequestServices.h"

#include "Entry/RequestRun.h"
#include "Http/Pause.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The time limit of a connection that shows whether a target lives.
static constexpr Duration ConnectTimeout = std::chrono::milliseconds(300);

/// How much later a connection through another VM shows its end.
static constexpr Duration TunnelDelay = std::chrono::milliseconds(10);

RetryBudget &RequestServices::retryBudgetOf(const std::string &Service) {
  auto [Found, IsNew] = RetryBudgets_.try_emplace(Service, RetryOptions_);
  if (IsNew) {
    Found->second.setVmCount(Vms_);
    Found->second.begin(BootClock::now());
  }
  return Found->second;
}

void RequestServices::setVms(double Count) {
  Vms_ = Count;
  for (auto &[Service, Budget] : RetryBudgets_)
    Budget.setVmCount(Count);
}

void RequestServices::checkDeliveries(TimePoint Now) {
  for (RequestRun &Run : Running_)
    Run.checkDelivery(Now);
}

void RequestServices::endRequests() {
  ServingEnded_ = true;
  for (RequestRun &Run : Running_)
    Run.interrupt();
}

LivenessChecks::Hooks RequestServices::livenessHooks() {
  LivenessChecks::Hooks Hooks;
  Hooks.HasOpenConnection_ = [this](const TargetAddress &Target,
                                    TimePoint OpenedBefore) {
    return hasOpenConnection(Target, OpenedBefore);
  };
  Hooks.Ask_ = [this](EndedConnection Ended) {
    return isAnswering(std::move(Ended));
  };
  return Hooks;
}

bool RequestServices::hasOpenConnection(const TargetAddress &Target,
                                        TimePoint OpenedBefore) {
  return Pool_.hasOpenConnection(Target.Address_, OpenedBefore) ||
         Engines_->hasOpenConnection(Target.Address_, OpenedBefore) ||
         std::ranges::any_of(Running_, [&](const RequestRun &Run) {
           return Run.hasOpenConnection(Target, OpenedBefore);
         });
}

asio::awaitable<bool> RequestServices::isAnswering(EndedConnection Ended) {
  if (!Ended.IsRelayed_) {
    bool IsAnswering = co_await isAnsweringHere(Ended);
    if (IsAnswering)
      co_return true;
  }
  // This VM may have been cut off from the target just now.
  co_return co_await isAnsweringElsewhere(std::move(Ended));
}

asio::awaitable<bool> RequestServices::isAnsweringHere(EndedConnection Ended) {
  const TargetAddress &Target = Ended.Target_;
  if (Ended.IsEngine_) {
    platform::EngineAddress Engine{Target.Target_, Target.Address_};
    auto Report = co_await Engines_->report(std::move(Engine));
    IncarnationFinding Finding = findingOf(Report, Target.Incarnation_);
    if (Finding != IncarnationFinding::NoReport)
      co_return Finding != IncarnationFinding::Other;
  }
  // A sound target may be silent for a while; its system still connects.
  HttpConnection Connection(Pool_.limits().Budget_);
  Metrics_->count("anvil_target_connections_total");
  Status Opened = co_await Connection.open(Target.Address_, ConnectTimeout);
  if (!isOk(Opened))
    co_return false;
  // The system closes a process's connections before its port.
  co_await pauseFor(Ended.CloseTime_);
  bool IsOpen = Connection.isIdle();
  Pool_.returnConnection(Target.Address_, std::move(Connection),
                         BootClock::now());
  co_return IsOpen;
}

asio::awaitable<bool>
RequestServices::isAnsweringElsewhere(EndedConnection Ended) {
  const TargetAddress &Target = Ended.Target_;
  ReachService::TunnelUse Use{Ended.RequestId_, Ended.IsEngine_, false};
  HttpConnection Connection(Pool_.limits().Budget_);
  bool IsOpen = co_await Reach_->openTunnel(Connection, Target, Use);
  if (!IsOpen)
    co_return false;
  co_await pauseFor(Ended.CloseTime_ + TunnelDelay);
  bool IsSame =
      !Ended.IsEngine_ || Connection.serverIncarnation() == Target.Incarnation_;
  bool IsKept = IsSame && Connection.isIdle();
  Reach_->returnTunnel(Target.Address_, std::move(Connection),
                       ConnectionPool::MaxIdleTime);
  co_return IsKept;
}

} // namespace anvil
