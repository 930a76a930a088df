#include "Entry/AdapterWait.h"

#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

/// How long to wait before a target is chosen again: for an adapter in transit,
/// for one whose load is queued, and while the engine's owner has not replied
/// to the adapter request, at first and later.
static constexpr Duration MinWait = std::chrono::milliseconds(2);
static constexpr Duration MaxTransitWait = std::chrono::milliseconds(40);
static constexpr Duration MaxQueueWait = std::chrono::milliseconds(80);
static constexpr Duration FirstReplyWait = std::chrono::milliseconds(8);
static constexpr Duration LaterReplyWait = std::chrono::milliseconds(40);

/// Owners reply within this time unless they are overloaded or unreachable.
static constexpr Duration UsualReplyTime = std::chrono::milliseconds(200);

AdapterWait::AdapterWait(RequestServices &Shared, const TargetQuery &Query,
                         int Rank, TimePoint AimAt)
    : Shared_(Shared), Picker_(Shared.Picker_), Adapter_(Query.Adapter_),
      Rank_(Rank), AimAt_(AimAt) {}

static Duration pauseFor(const TargetChoice &Chosen, Duration Waited) {
  if (Chosen.Readiness_ == AdapterReadiness::Absent)
    return Waited < UsualReplyTime ? FirstReplyWait : LaterReplyWait;
  return std::clamp(Chosen.ReadyIn_, MinWait,
                    Chosen.Load_ == LoadStage::Queued ? MaxQueueWait
                                                      : MaxTransitWait);
}

std::optional<Duration> AdapterWait::nextPause(const TargetChoice &Chosen,
                                               const TargetQuery &Query,
                                               Duration TimeLeft,
                                               Duration Waited, TimePoint Now) {
  StoreQueue Queue = Chosen.Queue_;
  if (Chosen.Source_ == LoadSource::Engine)
    Queue = {Shared_.Fleet_->loadTimes().expected(LoadSource::Engine)};
  LoadOutlook Outlook;
  if (Chosen.Readiness_ == AdapterReadiness::Loading)
    Outlook.ReadyIn_ = std::max<Duration>(Chosen.ReadyIn_, Duration::zero());
  Outlook.IsOrdered_ = Chosen.Load_ == LoadStage::Ordered;
  Outlook.Queue_ = Queue;
  Outlook.ServeTime_ = Chosen.Prefill_ + Chosen.OwnPrefill_;
  Outlook.TimeLeft_ = TimeLeft;
  PatienceDecision Decision = decidePatience(Outlook);
  ExpectedIn_ = Decision.ExpectedIn_;
  if (Decision.Action_ == PatienceAction::Refuse) {
    Shared_.Metrics_->count(
        "anvil_adapter_refusals_total",
        {{"load", std::string(loadStageName(Chosen.Load_))}});
    logEvent(LogLevel::Info, "adapter_wait_refused",
             {{"target", Chosen.Target_},
              {"adapter", Adapter_},
              {"load", loadStageName(Chosen.Load_)},
              {"expected_ms", toMillis(Decision.ExpectedIn_)},
              {"serve_ms", toMillis(Outlook.ServeTime_)},
              {"left_ms", toMillis(TimeLeft)},
              {"waited_ms", toMillis(Waited)},
              {"load_ms", toMillis(Queue.Load_)},
              {"in_transit", Queue.InTransit_},
              {"limit", Queue.Limit_},
              {"queued", Queue.Queued_}});
    return std::nullopt;
  }
  if (!IsWaiting_) {
    Picker_->waiting().add(Adapter_, Rank_, AimAt_);
    IsWaiting_ = true;
  }
  Picker_->requestAdapter(Query, Chosen.Target_, Now);
  if (Chosen.Load_ == LoadStage::Ordered)
    AwaitedTarget_ = Chosen.Target_;
  return pauseFor(Chosen, Waited);
}

std::optional<Duration> AdapterWait::pauseAtTarget(const TargetChoice &Chosen,
                                                   const TargetQuery &Query,
                                                   Duration Waited,
                                                   TimePoint Now) const {
  DispatchCandidate At = Picker_->adapterAt(Chosen.Target_, Query, Now);
  bool WasAbsent = Chosen.Readiness_ == AdapterReadiness::Absent;
  bool IsLoading = At.Readiness_ == AdapterReadiness::Loading;
  bool IsAwaited =
      IsLoading || (WasAbsent && At.Readiness_ == AdapterReadiness::Absent);
  if (!IsAwaited)
    return std::nullopt;
  TargetChoice Current = Chosen;
  Current.Readiness_ = At.Readiness_;
  Current.ReadyIn_ = At.ReadyIn_;
  return pauseFor(Current, Waited);
}

Duration AdapterWait::pauseBefore(const TargetChoice &Chosen,
                                  TimePoint Now) const {
  auto Found = NotBefore_.find(Chosen.Target_);
  if (Found != NotBefore_.end() && Found->second > Now)
    return std::min(Found->second - Now, MaxTransitWait);
  if (!Chosen.OrderedAt_)
    return Duration::zero();
  return Picker_->loadChecks().pauseBefore(Chosen.Target_, Adapter_,
                                           *Chosen.OrderedAt_, Now);
}

void AdapterWait::end() {
  if (std::exchange(IsWaiting_, false))
    Picker_->waiting().remove(Adapter_, Rank_, AimAt_);
}

bool AdapterWait::recordReply(const TargetChoice &Chosen, bool WasMissing,
                              TimePoint SentAt, Duration TimeLeft,
                              TimePoint Now) {
  bool WasAwaited = std::exchange(AwaitedTarget_, {}) == Chosen.Target_;
  if (WasAwaited && Chosen.OrderedAt_)
    Shared_.Fleet_->recordLoad(Chosen.Source_, SentAt - *Chosen.OrderedAt_,
                               WasMissing, Now);
  if (Adapter_.empty())
    return true;
  Picker_->loadChecks().recordReply(Chosen.Target_, Adapter_, WasMissing);
  if (!WasMissing)
    return true;
  auto Pause = Missing_.recordMissing(TimeLeft);
  if (Pause)
    NotBefore_[Chosen.Target_] = Now + *Pause;
  return Pause.has_value();
}

} // namespace anvil
