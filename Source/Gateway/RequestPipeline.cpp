#include "Gateway/RequestPipeline.h"

#include "Gateway/OpenAiCodec.h"
#include "Kernel/DescriptorLimit.h"
#include "Objects/Digest.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// The maximum number of attempts for a repeatable request, including the
/// first.
static constexpr int MaxAttempts = 3;

/// The maximum pause between two parts of a response.
static constexpr Duration ResponseIdleTimeout = std::chrono::seconds(30);

/// The `Retry-After` of requests that no target could serve.
static constexpr Duration NoTargetRetryDelay = std::chrono::seconds(1);

/// The memory that the requests of all callers share.
static constexpr std::size_t CallerBudgetBytes = 32 * 1024 * 1024;

/// The part of a process's descriptors that callers' connections may use.
static constexpr double CallerDescriptorShare = 0.625;

static HttpServerLimits serverLimits(const CallerLimitSettings &Given) {
  HttpServerLimits Limits;
  Limits.HeadBytes_ = static_cast<std::uint32_t>(Given.HeadBytes_);
  Limits.BodyBytes_ = static_cast<std::uint64_t>(Given.BodyBytes_);
  Limits.HeadTime_ = std::chrono::milliseconds(Given.RequestMs_);
  Limits.BodyTime_ = Limits.HeadTime_;
  Limits.IdleTime_ = std::chrono::milliseconds(Given.IdleMs_);
  Limits.Budget_ = std::make_shared<BufferBudget>(CallerBudgetBytes);
  Limits.Connections_ = static_cast<std::size_t>(
      static_cast<double>(descriptorLimit()) * CallerDescriptorShare);
  return Limits;
}

/// Encodes the refusal of a malformed HTTP request.
static HttpReply malformedReply(int Status, std::string_view Reason) {
  Refusal Given{RefusalCode::MalformedRequest, std::string(Reason),
                Execution::No, std::nullopt};
  if (Status == 413)
    Given.Code_ = RefusalCode::BodyTooLarge;
  else if (Status == 431)
    Given.Code_ = RefusalCode::HeaderTooLarge;
  else if (Status == 501)
    Given.Code_ = RefusalCode::UnknownCoding;
  else if (Status == 408)
    Given.Code_ = RefusalCode::RequestTimeout;
  if (Status == 503) {
    Given.Code_ = RefusalCode::QueueFull;
    Given.RetryAfter_ = NoTargetRetryDelay;
  }
  return encodeRefusal(Given, "");
}

/// The maximum size of a response that is not streamed, and of all of them
/// together.
static ReceiveLimits responseLimits() {
  constexpr std::size_t BodyBytes = 32 * 1024 * 1024;
  constexpr std::size_t TotalBytes = 128 * 1024 * 1024;
  return {BodyBytes, std::make_shared<BufferBudget>(TotalBytes)};
}

RequestPipeline::RequestPipeline(asio::any_io_executor Executor,
                                 const DaemonSettings &Settings,
                                 const ServiceRegistry &Services)
    : Settings_(Settings),
      State_(Services.require<ConfigState>(ConfigState::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      Quota_(Services.require<QuotaGate>(QuotaGate::Name)),
      Permits_(Services.require<PermitBroker>(PermitBroker::Name)),
      Selector_(Services.require<TargetSelector>(TargetSelector::Name)),
      Ledger_(Services.require<RequestLedger>(RequestLedger::Name)),
      Poison_(Services.find<PoisonGuard>(PoisonGuard::Name)),
      Admission_(State_),
      Dispatcher_(
          std::chrono::milliseconds(Settings.Targets_.ConnectTimeoutMs_),
          ResponseIdleTimeout, Settings.Routing_.ResumeStreams_,
          responseLimits()),
      Server_(std::move(Executor), serverLimits(Settings.CallerLimits_),
              [this](HttpExchange &Exchange) { return handle(Exchange); }),
      IdPrefix_(Settings.Vm_ + "-" + randomHex(4) + "-") {
  Server_.setMalformedHook([this](int Status, std::string_view Reason) {
    logEvent(LogLevel::Info, "request_not_read",
             {{"status", Status},
              {"reason", Reason},
              {"connections", Server_.openConnections()}});
    Metrics_->count("anvil_malformed_requests_total",
                    {{"status", std::to_string(Status)}});
    return malformedReply(Status, Reason);
  });
  State_->Changed_.attach([this](const SnapshotPtr &) {
    Admission_.adopt();
    auto IsValid = [this](const std::string &KeyName) {
      return Admission_.keys().isValid(KeyName);
    };
    endRequests("requests_ended_by_withdrawal", IsValid);
    Server_.closeTagged(std::not_fn(IsValid));
  });
}

void RequestPipeline::endRequests(
    std::string_view EventName,
    const std::function<bool(const std::string &)> &IsAccepted) {
  auto Ended = Active_.cancelInvalid(IsAccepted);
  if (Ended > 0)
    logEvent(LogLevel::Info, EventName, {{"count", Ended}});
}

RequestPipeline::~RequestPipeline() = default;

std::vector<std::string> RequestPipeline::dependencies() const {
  return {std::string(ConfigState::Name),   std::string(QuotaGate::Name),
          std::string(PermitBroker::Name),  std::string(TargetSelector::Name),
          std::string(RequestLedger::Name), std::string(Metrics::Name)};
}

Endpoint RequestPipeline::address() const {
  return {Settings_.Listen_.Address_,
          static_cast<std::uint16_t>(Settings_.Listen_.CallerPort_)};
}

void RequestPipeline::stop() { Server_.close(); }

std::uint16_t RequestPipeline::port() const { return Server_.port(); }

void RequestPipeline::beginDrain() { Server_.beginDrain(); }

std::size_t RequestPipeline::runningRequests() const {
  return Server_.runningRequests();
}

std::size_t RequestPipeline::openConnections() const {
  return Server_.openConnections();
}

asio::awaitable<void> RequestPipeline::refuse(HttpExchange &Exchange,
                                              const Refusal &Given,
                                              const std::string &RequestId,
                                              Summary &Ended) {
  Ended.Refusal_ = refusalTraits(Given.Code_).Name_;
  Ended.Status_ = refusalTraits(Given.Code_).HttpStatus_;
  if (Exchange.responseStarted()) {
    // The stream has started, so the refusal is sent as its last event.
    co_await Exchange.write(encodeStreamError(Given, RequestId));
    Exchange.abort();
    co_return;
  }
  co_await Exchange.respond(encodeRefusal(Given, RequestId));
}

asio::awaitable<void> RequestPipeline::handle(HttpExchange &Exchange) {
  std::string RequestId = IdPrefix_ + std::to_string(NextId_++);
  Summary Ended;
  if (!State_->isCurrent()) {
    Refusal Given{RefusalCode::NotReady,
                  "this VM has not loaded its configuration yet", Execution::No,
                  NoTargetRetryDelay};
    co_await refuse(Exchange, Given, RequestId, Ended);
    co_return;
  }
  auto Admitted =
      Admission_.admit(Exchange.request(), RequestId, BootClock::now());
  if (std::holds_alternative<Refusal>(Admitted)) {
    const Refusal &Given = refusalOf(Admitted);
    co_await refuse(Exchange, Given, RequestId, Ended);
    RequestContext Unknown;
    Unknown.RequestId_ = RequestId;
    Unknown.Snapshot_ = State_->current();
    Unknown.Arrived_ = BootClock::now();
    report(Unknown, Ended);
    co_return;
  }
  const AdmittedRequest &Request = std::get<AdmittedRequest>(Admitted);
  Exchange.tag(Request.Context_.KeyName_);
  co_await serve(Exchange, Request, Ended);
  report(Request.Context_, Ended);
}

asio::awaitable<void> RequestPipeline::serve(HttpExchange &Exchange,
                                             const AdmittedRequest &Admitted,
                                             Summary &Ended) {
  const RequestContext &Request = Admitted.Context_;
  if (Poison_) {
    if (auto Quarantined = Poison_->check(Request, BootClock::now())) {
      co_await refuse(Exchange, *Quarantined, Request.RequestId_, Ended);
      co_return;
    }
  }
  auto Charged = co_await Quota_->charge(Request);
  if (std::holds_alternative<Refusal>(Charged)) {
    co_await refuse(Exchange, refusalOf(Charged), Request.RequestId_, Ended);
    co_return;
  }
  QuotaCharge Charge = std::get<QuotaCharge>(Charged);
  Outcome<ClaimDecision> Claimed = ClaimDecision(ClaimToken{});
  if (!Request.Repeatable_)
    Claimed = co_await Ledger_->claim(Request);
  if (std::holds_alternative<Refusal>(Claimed)) {
    co_await refuse(Exchange, refusalOf(Claimed), Request.RequestId_, Ended);
  } else if (auto *Recorded =
                 std::get_if<HttpReply>(&std::get<ClaimDecision>(Claimed))) {
    Ended.Status_ = Recorded->Status_;
    co_await Exchange.respond(std::move(*Recorded));
  } else {
    auto Claim = std::get<ClaimToken>(std::get<ClaimDecision>(Claimed));
    co_await runClaimed(Exchange, Admitted, std::move(Claim), Ended);
  }
  Quota_->settle(Charge, Ended.UsedTokens_);
}

asio::awaitable<void>
RequestPipeline::runClaimed(HttpExchange &Exchange,
                            const AdmittedRequest &Admitted, ClaimToken Claim,
                            Summary &Ended) {
  const RequestContext &Request = Admitted.Context_;
  auto Executed = co_await runOnTargets(Exchange, Admitted, Ended);
  ClaimOutcome End;
  if (std::holds_alternative<Refusal>(Executed)) {
    End.Executed_ = refusalOf(Executed).Executed_;
    co_await Ledger_->record(std::move(Claim), End);
    co_await refuse(Exchange, refusalOf(Executed), Request.RequestId_, Ended);
    co_return;
  }
  AttemptOutcome &Attempt = std::get<AttemptOutcome>(Executed);
  Ended.Status_ = Attempt.Reply_.Status_;
  // Without reported usage, the upper bound stays charged.
  Ended.UsedTokens_ = Attempt.UsedTokens_.value_or(Request.UpperBoundTokens_);
  Ended.TimeToFirstByte_ = Attempt.TimeToFirstByte_;
  if (Request.Repeatable_ && Exchange.callerDisconnected())
    Ended.Refusal_ = refusalTraits(RefusalCode::CallerDisconnected).Name_;
  End.Executed_ = Execution::Yes;
  if (!Claim.Row_.empty())
    End.Reply_ = Attempt.Reply_;
  co_await Ledger_->record(std::move(Claim), std::move(End));
  if (!Attempt.ResponseStarted_)
    co_await Exchange.respond(std::move(Attempt.Reply_));
}

asio::awaitable<Outcome<Permit>>
RequestPipeline::acquirePermit(const RequestContext &Request,
                               std::set<std::string> &TriedTargets) {
  Refusal Last{RefusalCode::NoTarget, "no target can serve the request now",
               Execution::No, NoTargetRetryDelay};
  auto Ranked = Selector_->rank(Request, TriedTargets, BootClock::now());
  // A ranking has only the best targets; if all deny a permit, the next best
  // are ranked.
  while (!Ranked.empty()) {
    for (const std::string &TargetName : Ranked) {
      if (BootClock::now() >= Request.Deadline_)
        co_return Last;
      TriedTargets.insert(TargetName);
      Selector_->recordSelection(Request, TargetName, BootClock::now());
      auto Granted = co_await Permits_->acquire(Request, TargetName);
      if (std::holds_alternative<Permit>(Granted))
        co_return Granted;
      Selector_->recordPermitDenied(Request, TargetName, BootClock::now());
      Last = refusalOf(Granted);
    }
    Ranked = Selector_->rank(Request, TriedTargets, BootClock::now());
  }
  co_return Last;
}

std::optional<Refusal>
RequestPipeline::checkBeforeDispatch(const HttpExchange &Exchange,
                                     const RequestContext &Request) {
  if (auto Refused = Admission_.recheckKey(Request, BootClock::now()))
    return Refused;
  if (Request.Repeatable_ && Exchange.callerDisconnected())
    return Refusal{RefusalCode::CallerDisconnected, "the caller disconnected",
                   Execution::No, std::nullopt};
  return std::nullopt;
}

asio::awaitable<AttemptOutcome>
RequestPipeline::runOnce(HttpExchange &Exchange,
                         const AdmittedRequest &Admitted, const Permit &Held) {
  const RequestContext &Request = Admitted.Context_;
  HttpConnection Connection;
  if (Request.Repeatable_)
    Connection = Connections_.acquireConnection(Held.Address_, BootClock::now(),
                                                Request.RequestId_);
  auto Cancel = [&Connection, &Exchange] {
    Connection.close();
    Exchange.abort();
  };
  // A request that may not be repeated is never cancelled while it runs.
  auto Entry = Active_.add(Request.Repeatable_ ? Request.KeyName_ : "", Cancel);
  if (Request.Repeatable_)
    Exchange.setDisconnectHandler([&Connection] { Connection.close(); });
  if (Poison_)
    Poison_->recordStart(Request, Held, BootClock::now());
  AttemptOutcome Attempt =
      co_await Dispatcher_.run(Admitted, Held, Connection, Exchange);
  Exchange.setDisconnectHandler({});
  if (Attempt.ResumeCount_ > 0)
    Metrics_->count("anvil_streams_resumed_total", {}, Attempt.ResumeCount_);
  if (Request.Repeatable_ && Exchange.callerDisconnected() &&
      Attempt.Result_ == AttemptResult::Crashed) {
    // This VM closed the connection itself, so the target did not crash.
    Attempt.Result_ = AttemptResult::Replied;
    Attempt.End_ = PermitOutcome::Finished;
  }
  if (Poison_)
    Poison_->recordEnd(Request, Held, Attempt.Result_, BootClock::now());
  Permits_->release(Held, Attempt.End_);
  if (Request.Repeatable_ && Attempt.Result_ == AttemptResult::Replied)
    Connections_.returnConnection(Held.Address_, std::move(Connection),
                                  BootClock::now());
  Selector_->recordAttempt(Request, Held, Attempt.Result_,
                           Attempt.TimeToFirstByte_, BootClock::now());
  co_return Attempt;
}

asio::awaitable<Outcome<AttemptOutcome>>
RequestPipeline::runOnTargets(HttpExchange &Exchange,
                              const AdmittedRequest &Admitted, Summary &Ended) {
  const RequestContext &Request = Admitted.Context_;
  std::set<std::string> TriedTargets;
  Refusal Last{RefusalCode::NoTarget, "no target can serve the request now",
               Execution::No, NoTargetRetryDelay};
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    auto Granted = co_await acquirePermit(Request, TriedTargets);
    if (std::holds_alternative<Refusal>(Granted))
      co_return Attempt == 0 ? refusalOf(Granted) : Last;
    const Permit &Held = std::get<Permit>(Granted);
    if (auto Stopped = checkBeforeDispatch(Exchange, Request)) {
      Permits_->release(Held, PermitOutcome::NotStarted);
      Selector_->recordPermitDenied(Request, Held.Target_, BootClock::now());
      Stopped->Executed_ = Last.Executed_;
      co_return *Stopped;
    }
    Ended.Target_ = Held.Target_;
    bool WasSuspect = Poison_ && Poison_->isSuspect(Request, BootClock::now());
    AttemptOutcome Run = co_await runOnce(Exchange, Admitted, Held);
    Ended.TimeToFirstByte_ = Run.TimeToFirstByte_;
    if (Run.Result_ == AttemptResult::Replied)
      co_return Run;
    logEvent(LogLevel::Warning, "try_failed",
             {{"request_id", Request.RequestId_},
              {"target", Held.Target_},
              {"ran", executionName(Run.Executed_)},
              {"problem", Run.Problem_}});
    // If this attempt did not run, an earlier one may still have run.
    Execution Executed =
        Run.Executed_ == Execution::No ? Last.Executed_ : Run.Executed_;
    Last = {RefusalCode::TargetFailed, "the target failed: " + Run.Problem_,
            Executed, NoTargetRetryDelay};
    if (Run.Executed_ != Execution::No)
      Ended.UsedTokens_ = Request.UpperBoundTokens_;
    if (Run.ResponseStarted_) {
      Last.Code_ = RefusalCode::StreamBroken;
      co_return Last;
    }
    bool MayRepeat = Request.Repeatable_ || Run.Executed_ == Execution::No;
    // A second crash with the same request is attributed to the request.
    bool IsPoison = WasSuspect && Run.Result_ == AttemptResult::Crashed;
    IsPoison |= Poison_ && Poison_->check(Request, BootClock::now());
    // Retry-After is sent only if the request may run again.
    if (IsPoison || (!Request.Repeatable_ && Executed != Execution::No))
      Last.RetryAfter_.reset();
    MayRepeat &= !IsPoison;
    if (!MayRepeat || Exchange.callerDisconnected() ||
        !Selector_->allowRetry(Request, BootClock::now()))
      co_return Last;
    if (Poison_ && Run.Result_ == AttemptResult::Crashed)
      co_await Poison_->awaitCrashConfirmation(Held);
  }
  co_return Last;
}

void RequestPipeline::report(const RequestContext &Request,
                             const Summary &Ended) {
  Duration Taken = BootClock::now() - Request.Arrived_;
  std::string Result = Ended.Refusal_.empty() ? "answered" : Ended.Refusal_;
  MetricLabels Labels{{"customer", Request.Customer_},
                      {"class", Request.RequestClass_}};
  Metrics_->observe("anvil_request_seconds", Labels, Taken);
  if (Ended.Refusal_.empty())
    Metrics_->observe("anvil_first_byte_seconds", Labels,
                      Ended.TimeToFirstByte_);
  Labels["result"] = Result;
  Metrics_->count("anvil_requests_total", Labels);
  logEvent(LogLevel::Info, "request",
           {{"request_id", Request.RequestId_},
            {"customer", Request.Customer_},
            {"route", Request.Route_},
            {"class", Request.RequestClass_},
            {"target", Ended.Target_},
            {"adapter", Request.Adapter_.Adapter_},
            {"version", Request.Adapter_.Version_},
            {"revision", Request.Snapshot_->Revision_},
            {"status", Ended.Status_},
            {"result", Result},
            {"tokens", Ended.UsedTokens_},
            {"taken_ms", toMillis(Taken)}});
}

} // namespace anvil
