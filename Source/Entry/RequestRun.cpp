#include "Entry/RequestRun.h"

#include "Http/Pause.h"
#include "Kernel/EnumNames.h"
#include "Serving/RetryAfter.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The maximum number of sends of one request that targets refuse to run,
/// besides those to targets that lack the adapter.
static constexpr int MaxRefusedSends = 4;

/// How often a waiting request checks the retry budget.
static constexpr Duration RetryCheckPeriod = std::chrono::milliseconds(50);

/// The retry hint for callers while all targets are in evacuated data centres,
/// which takes the operator seconds at least.
static constexpr Duration EvacuatedRetryAfter = std::chrono::milliseconds(2000);

/// The retry hint for callers while all places at brittle targets are taken.
static constexpr Duration PlacesFullRetryAfter =
    std::chrono::milliseconds(1000);

/// The reason logged for requests that end because the VM stops.
static constexpr std::string_view VmStopping = "vm_stopping";

/// The reason logged when a target lacked the adapter.
static constexpr std::string_view AdapterMissing = "adapter_missing";

/// The rank of the least urgent requests to targets; zero is the most urgent.
static constexpr int LeastUrgentRank = 9;

RequestRun::RequestRun(RequestServices &Shared, HttpExchange &Exchange,
                       EntryRequest Request)
    : Shared_(Shared), Exchange_(Exchange), Request_(std::move(Request)),
      Query_{Request_.Service_,       Request_.Route_->Name_,
             Request_.Fields_.Model_, Request_.Fields_.Adapter_,
             Request_.Fields_.Shape_, {}},
      Wait_(Shared, Query_, rank(),
            Request_.ArrivedAt_ + Request_.Route_->LatencyTarget_),
      Pause_(Shared.Executor_) {
  Shared_.Running_.push_back(*this);
  Duration PrefillTime = Shared_.Fleet_->prefill().prefillTime(
      Request_.Fields_.Shape_.PromptTokens_);
  Duration Pause = Request_.Route_->PauseTarget_;
  Query_.Shape_.StallsStreams_ =
      Pause > Duration::zero() && PrefillTime > Pause;
}

Duration RequestRun::timeLeft() const {
  return Request_.Deadline_ - BootClock::now();
}

bool RequestRun::isOutOfTime() const {
  return Shared_.ServingEnded_ || timeLeft() <= ReplyMargin;
}

bool RequestRun::isCancelled() const {
  return Shared_.ServingEnded_ || Exchange_.callerDisconnected();
}

void RequestRun::interrupt() {
  Pause_.cancel();
  Connection_.close();
}

void RequestRun::endIfOutdated(const VersionRequirements &Versions,
                               TimePoint Now) {
  if (!AwaitedVersion_)
    return;
  auto Limit =
      Versions.waitLimit(Query_.Model_, Query_.Adapter_, *AwaitedVersion_);
  if (!Limit || *Limit > Now)
    return;
  IsOutdated_ = true;
  Connection_.close();
}

bool RequestRun::mayRunAgain() const {
  const RoutePlan &Route = *Request_.Route_;
  bool IsRepeatable = Route.Kind_ == RequestKind::Repeatable ||
                      (Route.Kind_ == RequestKind::Stream && Route.Resumable_);
  return IsRepeatable && Runs_ < Route.MaxTargets_;
}

asio::awaitable<void> RequestRun::serve() {
  Shared_.retryBudgetOf(Request_.Service_).recordRequest();
  Shared_.Picker_->recordRequest(Request_.Service_, Request_.ArrivedAt_);
  Exchange_.setDisconnectHandler([this] { Connection_.close(); });
  if (!co_await findOrigin())
    co_return co_await finishUnserved();
  while (true) {
    if (Exchange_.callerDisconnected()) {
      logDisconnect(0);
      co_return;
    }
    TimePoint Now = BootClock::now();
    if (Shared_.ServingEnded_)
      LastReason_ = VmStopping;
    if (isOutOfTime())
      co_return co_await finishUnserved();
    if (isPartRefused(Now)) {
      LastReason_ = PartQuarantined;
      co_return co_await finishUnserved();
    }
    if (!restrictVersion(Now)) {
      LastReason_ = NotRecordable;
      co_return co_await finishUnserved();
    }
    auto Chosen = Shared_.Picker_->pick(Query_, Now);
    if (!Chosen && !Query_.Excluded_.empty()) {
      // No other target can take the request; one that refused it earlier may
      // have capacity now.
      Query_.Excluded_.clear();
      Chosen = Shared_.Picker_->pick(Query_, Now);
    }
    if (!Chosen && co_await awaitReach())
      continue;
    if (!Chosen && co_await awaitPlace(Now))
      continue;
    if (!Chosen) {
      CallerRetryAfter_ = Shared_.Picker_->untilResumed(Query_, Now);
      LastReason_ = CallerRetryAfter_ ? "targets_closed" : "no_target";
      if (CallerRetryAfter_ && MaxPlaceWait_) {
        LastReason_ = PlacesFull;
        CallerRetryAfter_ = std::max(*CallerRetryAfter_, PlacesFullRetryAfter);
        Shared_.Metrics_->count("anvil_brittle_refusals_total",
                                {{"service", Query_.Service_}});
      }
      if (!CallerRetryAfter_ && Shared_.Picker_->isFullyEvacuated(Query_)) {
        LastReason_ = Evacuated;
        CallerRetryAfter_ = EvacuatedRetryAfter;
        Shared_.Metrics_->count("anvil_evacuated_refusals_total",
                                {{"service", Query_.Service_}});
      }
      bool LacksVersion = Query_.SoftwareVersion_ &&
                          !Shared_.Picker_->hasSoftwareVersion(Query_);
      if (LacksVersion)
        LastReason_ = Origin_ ? VersionLeft : NotRecordable;
      co_return co_await finishUnserved();
    }
    bool MustWait = Chosen->Readiness_ == AdapterReadiness::Absent ||
                    Chosen->Readiness_ == AdapterReadiness::Loading;
    if (MustWait) {
      if (!co_await awaitAdapter(*Chosen))
        co_return co_await finishUnserved();
      continue;
    }
    Duration PacingDelay =
        pacingDelay(Chosen->Prefill_, Chosen->OwnPrefill_, PacingWait_,
                    Request_.Route_->LatencyTarget_);
    if (PacingDelay > Duration::zero()) {
      co_await pauseFor(Pause_, PacingDelay);
      PacingWait_ += PacingDelay;
      continue;
    }
    if (co_await holdForSlot(*Chosen))
      continue;
    Duration MissingPause = Wait_.pauseBefore(*Chosen, Now);
    if (MissingPause > Duration::zero()) {
      co_await pauseFor(Pause_, MissingPause);
      AdapterWait_ += MissingPause;
      continue;
    }
    Wait_.end();
    bool MaySend = co_await acquirePermit(*Chosen);
    if (MaySend)
      PlaceQueue_.reset();
    // While the permit was awaited, an evacuation may have begun or the
    // target's version of the adapter become outdated.
    bool IsStale =
        Shared_.Picker_->isEvacuated(*Chosen) ||
        Shared_.Picker_->isOutdated(Query_, *Chosen, BootClock::now());
    if (!MaySend || IsStale) {
      Place_ = PlaceLease();
      continue;
    }
    SendOutcome End = co_await tryTarget(std::move(*Chosen));
    Place_ = PlaceLease();
    if (End == SendOutcome::Done)
      co_return;
    if (!HasEvents_ && !IsTakenUp_)
      Origin_.reset();
    if (!isRetryable(End) || !co_await awaitRetryBudget(End))
      co_return co_await finishUnserved();
    if (End == SendOutcome::NotRun)
      co_await pauseFor(
          Pause_, refusedSendPause(Sends_, Request_.Route_->LatencyTarget_,
                                   timeLeft()));
  }
}

bool RequestRun::isRetryable(SendOutcome End) const {
  bool IsSentOften = Sends_ - Wait_.missingSends() >= MaxRefusedSends;
  if (End == SendOutcome::NotRun && (IsSentOften || !MaySendAgain_))
    return false;
  // Once a caller has received part of a stream, only the rest of that stream
  // can follow.
  if (End != SendOutcome::NotRun && !mayRunAgain())
    return false;
  return !isOutOfTime();
}

asio::awaitable<bool> RequestRun::awaitRetryBudget(SendOutcome End) {
  // Nothing was sent.
  if (LastReason_ == "no_connection" || LastReason_ == TargetEvacuated ||
      LastReason_ == PermitMissing || LastReason_ == PartQuarantined ||
      LastReason_ == NotRecordable || LastReason_ == TargetRestarted)
    co_return true;
  // A request whose adapter is being loaded waits for the budget for up to a
  // quarter of the time left, even beyond its latency target.
  Duration MaxWait = LastReason_ == AdapterMissing
                         ? timeLeft()
                         : Request_.Route_->LatencyTarget_;
  TimePoint Until = BootClock::now() + maxRetryWait(timeLeft(), MaxWait);
  while (!Shared_.retryBudgetOf(Request_.Service_).take(BootClock::now())) {
    bool MayWait = End == SendOutcome::NotRun && !isCancelled() &&
                   BootClock::now() + RetryCheckPeriod < Until;
    if (!MayWait)
      co_return false;
    co_await pauseFor(Pause_, RetryCheckPeriod);
  }
  co_return true;
}

asio::awaitable<RequestRun::SendOutcome>
RequestRun::tryTarget(TargetChoice Chosen) {
  const std::string &Adapter = Request_.Fields_.Adapter_;
  auto Tokens =
      static_cast<std::int64_t>(Request_.Fields_.Shape_.PromptTokens_ +
                                Request_.Fields_.Shape_.OutputTokens_);
  LastTarget_ = Chosen.Target_;
  LastSoftware_ = Chosen.SoftwareVersion_;
  RunningAtPick_ = Chosen.Running_;
  SlotWait_ = Chosen.SlotWait_;
  Shared_.Fleet_->recordStart(
      Chosen.Target_, Adapter, Tokens,
      static_cast<std::int64_t>(Request_.Fields_.Shape_.PromptTokens_));
  SendOutcome End = co_await sendTo(Chosen);
  Shared_.Fleet_->recordEnd(Chosen.Target_, Adapter, Tokens);
  Connection_ = HttpConnection();
  if (End != SendOutcome::Done && Shared_.ServingEnded_)
    LastReason_ = VmStopping;
  if (End != SendOutcome::Done)
    logEvent(LogLevel::Info, "try_failed",
             {{"request", Request_.Fields_.RequestId_},
              {"target", Chosen.Target_},
              {"software", Chosen.SoftwareVersion_},
              {"through", Through_},
              {"tunnel", Tunnel_},
              {"reason", LastReason_},
              {"sends", Sends_},
              {"runs", Runs_},
              {"framing", enumName(Framing_, BodyFramingNames)},
              {"stream_end", streamEndName()},
              {"end_sign", EndSign_ ? enumName(*EndSign_, LifeSignNames) : ""},
              {"running", Chosen.Running_},
              {"cost", Chosen.Cost_}});
  bool MustExclude = End != SendOutcome::Done &&
                     LastReason_ != AdapterMissing &&
                     LastReason_ != PermitMissing;
  if (MustExclude)
    Query_.Excluded_.insert(Chosen.Target_);
  co_return End;
}

int RequestRun::rank() const {
  int Rank = Request_.Route_->Rank_;
  // The customer's rank takes precedence over the route's.
  constexpr int RanksPerCustomerRank = 3;
  if (Request_.Customer_)
    Rank += RanksPerCustomerRank * Request_.Customer_->Rank_.value_or(0);
  return std::clamp(Rank, 0, LeastUrgentRank);
}

HttpRequest RequestRun::targetRequest(const TargetChoice &Chosen,
                                      TimePoint Now) const {
  platform::TargetFields Fields;
  Fields.TargetId_ = Chosen.Target_;
  Fields.TimeLeft_ = Request_.Deadline_ - Now;
  if (Request_.Customer_)
    Fields.Customer_ = Request_.Customer_->Name_;
  Fields.Rank_ = rank();
  Fields.Version_ = Chosen.Version_;
  Fields.ResumeAfter_ = Events_.lastId();
  return platform::encodeTargetRequest(Exchange_.request(), Fields);
}

asio::awaitable<RequestRun::SendOutcome>
RequestRun::sendTo(const TargetChoice &Chosen) {
  TimePoint SentAt = BootClock::now();
  if (!co_await connect(Chosen)) {
    if (isCancelled())
      co_return SendOutcome::NotRun;
    LastReason_ = "no_connection";
    co_return SendOutcome::NotRun;
  }
  bool IsSame = co_await checkIncarnation(Chosen);
  if (!IsSame || isCancelled())
    co_return SendOutcome::NotRun;
  if (Shared_.Picker_->isEvacuated(Chosen)) {
    LastReason_ = TargetEvacuated;
    co_return SendOutcome::NotRun;
  }
  if (!Shared_.Permits_->maySend(Chosen.Target_, Chosen.Incarnation_,
                                 PermitRequestedAt_, BootClock::now())) {
    LastReason_ = PermitMissing;
    co_return SendOutcome::NotRun;
  }
  if (!Shared_.Fleet_->promptParts().beginSend(Request_.Parts_,
                                               BootClock::now())) {
    LastReason_ = PartQuarantined;
    co_return SendOutcome::NotRun;
  }
  if (!beginRecord(Chosen)) {
    LastReason_ = NotRecordable;
    co_return SendOutcome::NotRun;
  }
  bool IsLimited = Shared_.Fleet_->limits()
                       .targets()
                       .rateOf(Chosen.Target_, Chosen.Incarnation_)
                       .has_value();
  if (IsLimited)
    Shared_.Metrics_->count("anvil_limited_sends_total",
                            {{"target", Chosen.Target_}});
  Shared_.ColdTargets_->countSend(Chosen.Target_, Chosen.Incarnation_,
                                  BootClock::now());
  HttpRequest Outgoing = targetRequest(Chosen, BootClock::now());
  // The caller's request has the same body and is counted.
  Outgoing.Body_ = std::string();
  ++Sends_;
  ++Runs_;
  Duration Timeout = std::max<Duration>(timeLeft(), ReplyMargin);
  TimePoint RequestSentAt = BootClock::now();
  SentAt_ = RequestSentAt;
  LongRun_ = LongRunDetector();
  Connection_.carried().recordRequest(Request_.Fields_.RequestId_);
  IsOutdated_ = false;
  IsNotReceived_ = false;
  SentTo_ =
      Connection_.route() ? std::nullopt : std::optional(addressOf(Chosen));
  AcknowledgedBefore_ = Connection_.acknowledgedBytes();
  if (!Query_.Adapter_.empty())
    AwaitedVersion_ = Chosen.HeldVersion_;
  auto Head = co_await Connection_.exchange(Outgoing, Exchange_.request().Body_,
                                            Timeout);
  Head = co_await readMatchingHead(std::move(Head), timeLeft());
  AwaitedVersion_.reset();
  AcknowledgedBefore_.reset();
  TimePoint Now = BootClock::now();
  if (!isOk(Head) && IsNotReceived_) {
    LastReason_ = NotReceived;
    Shared_.Metrics_->count("anvil_undelivered_requests_total",
                            {{"service", Query_.Service_}});
    co_return SendOutcome::Lost;
  }
  if (!isOk(Head) && IsOutdated_) {
    // The target may have begun just then.
    LastReason_ = VersionOutdated;
    Shared_.Metrics_->count("anvil_outdated_waits_total",
                            {{"service", Query_.Service_}});
    co_return SendOutcome::Lost;
  }
  if (!isOk(Head)) {
    LastReason_ = errorCodeName(errorOf(Head).Code_);
    recordFailure(Chosen, Now - SentAt, Now);
    co_return SendOutcome::Lost;
  }
  Framing_ = Connection_.framing();
  StreamEnd_.reset();
  EndSign_.reset();
  EndWait_ = {};
  auto Response = platform::decodeTargetResponse(valueOf(Head));
  applyTargetHeaders(Chosen, Response, SentAt, Now);
  bool IsMissing = Response.Status_ == 421;
  if (IsMissing || !Response.NotExecuted_)
    MaySendAgain_ =
        Wait_.recordReply(Chosen, IsMissing, SentAt, timeLeft(), Now);
  if (Response.NotExecuted_) {
    --Runs_;
    LastReason_ = IsMissing ? AdapterMissing : "target_refused";
    if (!IsMissing)
      Place_.release(true);
    if (IsMissing)
      Shared_.Picker_->recordMissing(Query_, Chosen.Target_);
    keepConnection(Chosen, Response);
    co_return SendOutcome::NotRun;
  }
  bool Failed = Response.Status_ >= 500 || !Response.Sealed_;
  Shared_.Picker_->health().recordResponse(Chosen.Target_, Failed, Now - SentAt,
                                           Now);
  bool IsSuccess = !Failed && Response.isSuccess();
  if (IsSuccess)
    recordSpeed(Chosen, firstByteMeasurement(sendConditions(Chosen),
                                             Now - RequestSentAt));
  FirstByteAt_ = Now;
  co_return co_await forwardReply(Chosen, std::move(valueOf(Head)), Response);
}

void RequestRun::applyTargetHeaders(const TargetChoice &Chosen,
                                    const platform::TargetResponse &Response,
                                    TimePoint SentAt, TimePoint Now) {
  for (platform::TargetSignal Field : Response.UnreadableSignals_) {
    std::string_view Name = enumName(Field, platform::TargetSignalNames);
    Shared_.Metrics_->count("anvil_unreadable_words_total",
                            {{"word", std::string(Name)}});
    logEvent(LogLevel::Warning, "target_word_unreadable",
             {{"target", Chosen.Target_},
              {"incarnation", Chosen.Incarnation_},
              {"word", Name}});
  }
  if (Response.WorkPercent_ && Response.Sealed_)
    Shared_.Fleet_->speeds().recordStatedTime(
        {Chosen.Target_, Chosen.Incarnation_, Request_.Service_},
        *Response.WorkPercent_, Now);
  if (Response.Load_ && Response.Sealed_ && !Query_.Model_.empty())
    Shared_.Picker_->slotWaits().recordQueue(Chosen.Target_,
                                             Response.Load_->second, Now);
  if (Response.Leaving_)
    Shared_.Fleet_->recordDraining(Chosen.Target_, Chosen.Incarnation_, Now);
  if (Response.BackOff_)
    Shared_.Reach_->recordBackOff(addressOf(Chosen), Connection_.route(),
                                  *Response.BackOff_, Now);
  if (Response.ColdRemaining_)
    Shared_.ColdTargets_->recordResponse(Chosen.Target_, Chosen.Incarnation_,
                                         *Response.ColdRemaining_, SentAt, Now);
  // A refusal may carry fewer headers than the target's own replies.
  auto States = [&](bool IsPresent, platform::TargetSignal Signal) {
    bool IsWhole = IsPresent || (Response.Sealed_ && !Response.NotExecuted_);
    return IsWhole &&
           std::ranges::count(Response.UnreadableSignals_, Signal) == 0;
  };
  if (States(Response.RateLimit_.has_value(),
             platform::TargetSignal::RateLimit))
    Shared_.Fleet_->limits().recordLimit(Chosen.Target_, Chosen.Incarnation_,
                                         Response.RateLimit_, SentAt, Now);
  if (States(Response.SurvivedRejections_.has_value(),
             platform::TargetSignal::Brittle))
    Shared_.Fleet_->limits().recordBrittle(
        Request_.Service_, Response.SurvivedRejections_, SentAt, Now);
}

SendConditions RequestRun::sendConditions(const TargetChoice &Chosen) const {
  return {Chosen.Running_,    Chosen.Slots_,       Chosen.Prefill_,
          Chosen.OwnPrefill_, Chosen.SpeedFactor_, Request_.Route_->Name_};
}

void RequestRun::recordSpeed(
    const TargetChoice &Chosen,
    const std::optional<SpeedMeasurement> &Measurement) {
  if (Measurement)
    Shared_.Fleet_->speeds().recordMeasurement(
        {Chosen.Target_, Chosen.Incarnation_, Request_.Service_}, *Measurement,
        BootClock::now());
}

} // namespace anvil
