#include "Entry/RequestServices.h"

#include "Entry/RequestRun.h"
#include "Http/Pause.h"

#include <chrono>
#include <optional>

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

asio::awaitable<TargetLife> RequestServices::askTarget(EndedConnection Ended) {
  if (!Ended.IsRelayed_) {
    std::optional<TargetLife> Life = co_await askDirectly(Ended);
    if (Life)
      co_return *Life;
  }
  co_return co_await askThroughOther(std::move(Ended));
}

/// When a process started that states this as its incarnation, by this VM's
/// clocks.
static TimePoint startTimeOf(std::int64_t Incarnation) {
  std::chrono::milliseconds Since(Incarnation);
  auto Age = std::chrono::system_clock::now().time_since_epoch() - Since;
  return BootClock::now() - std::chrono::duration_cast<Duration>(Age);
}

asio::awaitable<std::optional<TargetLife>>
RequestServices::askDirectly(const EndedConnection &Ended) {
  const TargetAddress &Target = Ended.Target_;
  // A connection that was idle may have ended meanwhile.
  constexpr int MaxQuestions = 2;
  bool MayAsk = !Ended.QuestionPath_.empty();
  for (int Asked = 0; MayAsk && Asked < MaxQuestions; ++Asked) {
    platform::EngineAddress Process{Target.Target_, Target.Address_};
    auto Answer =
        co_await Engines_->ask(std::move(Process), Ended.QuestionPath_);
    if (isOk(Answer)) {
      const auto &[Code, Incarnation] = valueOf(Answer);
      constexpr int OtherTarget = 421;
      TargetLife Life{Code == OtherTarget ? LifeSign::None : LifeSign::Answer,
                      std::nullopt};
      if (Incarnation && *Incarnation != Target.Incarnation_)
        Life.StartedAt_ = startTimeOf(*Incarnation);
      co_return Life;
    }
    MayAsk = errorOf(Answer).Code_ == ErrorCode::ConnectionClosed;
  }
  HttpConnection Connection(Pool_.limits().Budget_);
  Metrics_->count("anvil_target_connections_total");
  Status Opened = co_await Connection.open(Target.Address_, ConnectTimeout);
  if (!isOk(Opened))
    co_return std::nullopt;
  // The system closes a process's connections before its port.
  co_await pauseFor(Ended.CloseTime_);
  bool IsOpen = Connection.isIdle();
  Pool_.returnConnection(Target.Address_, std::move(Connection),
                         BootClock::now());
  co_return TargetLife{IsOpen ? LifeSign::OpenPort : LifeSign::None,
                       std::nullopt};
}

asio::awaitable<TargetLife>
RequestServices::askThroughOther(EndedConnection Ended) {
  const TargetAddress &Target = Ended.Target_;
  ReachService::TunnelUse Use{Ended.RequestId_, Ended.IsEngine_, false};
  HttpConnection Connection(Pool_.limits().Budget_);
  TargetLife Life;
  bool IsOpen = co_await Reach_->openTunnel(Connection, Target, Use);
  if (!IsOpen)
    co_return Life;
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
