#include "Entry/RequestServices.h"

#include "Entry/RequestRun.h"
#include "Http/Pause.h"

#include <chrono>
#include <optional>

namespace anvil {

namespace asio = boost::asio;

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

/// When a process started that states this as its incarnation, by this VM's
/// clocks.
static TimePoint startTimeOf(std::int64_t Incarnation) {
  std::chrono::milliseconds Since(Incarnation);
  auto Age = std::chrono::system_clock::now().time_since_epoch() - Since;
  return BootClock::now() - std::chrono::duration_cast<Duration>(Age);
}

static TargetLife lifeOf(const ProbeResult &Found,
                         const TargetAddress &Target) {
  TargetLife Life{Found.Sign_, std::nullopt};
  if (Found.Incarnation_ && *Found.Incarnation_ != Target.Incarnation_)
    Life.StartedAt_ = startTimeOf(*Found.Incarnation_);
  return Life;
}

asio::awaitable<TargetLife> RequestServices::askTarget(EndedConnection Ended) {
  const TargetAddress &Target = Ended.Target_;
  // A target that was lost may be reached again.
  bool IsReached = !Ended.IsRelayed_ ||
                   Reach_->stateOf(Target.Target_, Target.Incarnation_) ==
                       ReachState::Direct;
  if (IsReached) {
    TargetProbe Probe(
        *Engines_, Metrics_, Pool_.limits().Budget_,
        [this](const Endpoint &Address, HttpConnection Connection) {
          Pool_.returnConnection(Address, std::move(Connection),
                                 BootClock::now());
        });
    ProbeQuestion Question{Target, Ended.QuestionPath_, Ended.CloseTime_};
    auto Found = co_await Probe.probe(std::move(Question));
    if (Found)
      co_return lifeOf(*Found, Target);
  }
  co_return co_await askOtherVm(std::move(Ended));
}

asio::awaitable<TargetLife> RequestServices::askOtherVm(EndedConnection Ended) {
  const TargetAddress &Target = Ended.Target_;
  ReachService::TunnelUse Use{Ended.RequestId_, Ended.IsEngine_, false};
  RelayQuestion Question{Ended.QuestionPath_, Ended.CloseTime_};
  HttpConnection Connection(Pool_.limits().Budget_);
  auto Found = co_await Reach_->askOthersForSign(Connection, Target, Use,
                                                 std::move(Question));
  if (Found)
    co_return lifeOf(*Found, Target);
  TargetLife Life;
  if (!Connection.reusable())
    co_return Life;
  // A VM of an earlier release has connected this one to the target.
  co_await pauseFor(Ended.CloseTime_ + TunnelDelay);
  bool IsSame = Connection.serverIncarnation() == Target.Incarnation_;
  if (!Connection.isIdle())
    co_return Life;
  if (Ended.IsEngine_)
    Life.Sign_ = IsSame ? LifeSign::Answer : LifeSign::None;
  else
    Life.Sign_ = LifeSign::OpenPort;
  bool IsKept = Life.Sign_ != LifeSign::None &&
                Reach_->stateOf(Target.Target_, Target.Incarnation_) !=
                    ReachState::Direct;
  if (IsKept)
    Reach_->returnTunnel(Target.Address_, std::move(Connection),
                         ConnectionPool::MaxIdleTime);
  co_return Life;
}

} // namespace anvil
