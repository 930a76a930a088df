#include "Entry/EntryGateway.h"

#include "Entry/RandomFraction.h"
#include "Entry/ReceiveBudgets.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Kernel/DescriptorLimit.h"
#include "Kernel/HexText.h"
#include "Kernel/Utf8.h"
#include "Membership/Rendezvous.h"
#include "Serving/RetryAfter.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// The retry hint for callers while this VM lacks data it needs.
static constexpr Duration NotReadyRetryAfter = std::chrono::milliseconds(400);

/// The reason given while it isn't known whether the plan is the newest.
static constexpr std::string_view NotConfirmed =
    "the configuration is not confirmed";

/// The maximum retry hint for a caller that exceeds its rate.
static constexpr Duration MaxRateRetryAfter = std::chrono::seconds(2);

/// The time limit of an engine's report on which a request waits.
static constexpr Duration ReportTimeout = std::chrono::milliseconds(300);

/// How long to wait before the metrics' address is tried again.
static constexpr Duration MetricsRetryDelay = std::chrono::seconds(1);

/// The time limit of requests that state none.
static constexpr Duration DefaultTimeout = std::chrono::seconds(30);

/// The fraction of the fleet's extra retries that is handed out. The retries
/// earned in a window and those saved before it add up to twice this fraction.
static constexpr double ExtraFraction = 0.4;

/// The number of VMs assumed to share the extra retries until the rows of the
/// VMs have been read.
static constexpr double AssumedVms = 8;

/// The fraction of the retry ratio that is handed out.
static constexpr double RatioFraction = 0.8;

/// The part of a process's descriptors that callers' connections may use. The
/// rest is for targets, the store and other VMs.
static constexpr double CallerDescriptorShare = 0.625;

/// The limits of the pages for health checks and metrics.
static HttpServerLimits
pageLimits(const std::shared_ptr<BufferBudget> &Budget) {
  HttpServerLimits Limits;
  Limits.HeadBytes_ = 8 * 1024;
  Limits.BodyBytes_ = 4 * 1024;
  Limits.Budget_ = Budget;
  Limits.Connections_ = 128;
  return Limits;
}

static RetryBudgetOptions retryOptions(const EntrySettings &Settings) {
  const PlatformBoundSettings &Bounds = Settings.Bounds_;
  RetryBudgetOptions Options;
  Options.Ratio_ = Bounds.RetryRatio_ * RatioFraction;
  Options.FloorPerSecond_ = Bounds.RetryExtra_ * ExtraFraction /
                            static_cast<double>(Bounds.RetryWindowS_);
  Options.InitialShare_ = 0;
  Options.FleetBurst_ = Bounds.RetryExtra_ * ExtraFraction;
  return Options;
}

EntryGateway::EntryGateway(asio::any_io_executor Executor,
                           const EntrySettings &Settings,
                           const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Owners_(Services.require<EngineOwnershipService>(
          EngineOwnershipService::Name)),
      Shared_{
          Executor_,
          Services.require<TargetPicker>(TargetPicker::Name),
          Services.require<TargetPermits>(TargetPermits::Name),
          Services.require<FleetState>(FleetState::Name),
          Services.require<ColdTargets>(ColdTargets::Name),
          Services.require<StreamVersionService>(StreamVersionService::Name),
          Services.require<ReachService>(ReachService::Name),
          Services.require<Metrics>(Metrics::Name),
          {},
          retryOptions(Settings),
          AssumedVms,
          ConnectionPool(
              {ReceiveLimits().BodyBytes_,
               Services.require<ReceiveBudgets>(ReceiveBudgets::Name)
                   ->targets()}),
          std::make_shared<platform::EngineControl>(
              ReportTimeout,
              Services.require<ReceiveBudgets>(ReceiveBudgets::Name)
                  ->control()),
          {}},
      CallerBudget_(
          Services.require<ReceiveBudgets>(ReceiveBudgets::Name)->callers()),
      Callers_(Executor_, callerLimits(nullptr),
               [this](HttpExchange &Exchange) { return handle(Exchange); }),
      Ready_(Executor_, pageLimits(CallerBudget_),
             [this](HttpExchange &Exchange) { return respondReady(Exchange); }),
      MetricsPage_(Executor_, pageLimits(CallerBudget_),
                   [this](HttpExchange &Exchange) -> asio::awaitable<void> {
                     HttpReply Page{200,
                                    {{"Content-Type", "text/plain"}},
                                    Shared_.Metrics_->page()};
                     co_await Exchange.respond(std::move(Page));
                   }) {}

/// Parses an address of the settings, which were checked.
static Endpoint checkedAddress(const std::string &Text) {
  return std::get<Endpoint>(parseEndpoint(Text));
}

Status EntryGateway::claimResources() {
  Status Bound =
      Callers_.bind(checkedAddress(Settings_.Listen_.CallerAddress_));
  if (isOk(Bound))
    Bound = Ready_.bind(checkedAddress(Settings_.Listen_.ReadyAddress_));
  return Bound;
}

Status EntryGateway::start() {
  Callers_.setMalformedHook([this](int Status, std::string_view Reason) {
    return rejectUnread(Status, Reason);
  });
  Ready_.setMalformedHook(plainRejection);
  MetricsPage_.setMalformedHook(plainRejection);
  Plans_->Changed_.attach([this](const ServingPlan &Plan) {
    Callers_.setLimits(callerLimits(&Plan));
  });
  Plans_->VersionNamed_.attach(
      [this](const std::string &Model, const std::string &Adapter) {
        spawn(Executor_, endOutdatedWaits(Model, Adapter));
      });
  Shared_.Reach_->CheckDue_.attach(
      [this](TimePoint Now) { Shared_.checkDeliveries(Now); });
  Shared_.Reach_->Lost_.attach([this](const TargetAddress &Lost) {
    Shared_.Pool_.dropConnections(Lost.Address_);
  });
  Owners_->RowsRead_.attach([this] {
    Shared_.setVms(static_cast<double>(
        std::max<std::size_t>(1, Owners_->ownership().knownVms())));
  });
  Status Opened =
      Callers_.listen(checkedAddress(Settings_.Listen_.CallerAddress_));
  if (isOk(Opened))
    Opened = Ready_.listen(checkedAddress(Settings_.Listen_.ReadyAddress_));
  if (isOk(Opened) && Settings_.Listen_.MetricsPort_ > 0)
    spawn(Executor_, openMetrics());
  return Opened;
}

HttpServerLimits EntryGateway::callerLimits(const ServingPlan *Plan) const {
  HttpServerLimits Limits;
  Limits.Budget_ = CallerBudget_;
  Limits.Connections_ = static_cast<std::size_t>(
      static_cast<double>(descriptorLimit()) * CallerDescriptorShare);
  if (!Plan)
    return Limits;
  Limits.HeadBytes_ = Plan->limits().HeadBytes_;
  Limits.BodyBytes_ = Plan->limits().BodyBytes_;
  Limits.HeadTime_ = Plan->limits().HeadTime_;
  Limits.IdleTime_ = Plan->limits().IdleTime_;
  return Limits;
}

HttpReply EntryGateway::rejectUnread(int Status, std::string_view Reason) {
  logEvent(LogLevel::Info, "request_not_read",
           {{"status", Status},
            {"reason", Reason},
            {"held_bytes", CallerBudget_->heldBytes()},
            {"limit_bytes", CallerBudget_->limitBytes()},
            {"connections", Callers_.openConnections()}});
  Shared_.Metrics_->count("anvil_malformed_requests_total",
                          {{"status", std::to_string(Status)}});
  std::optional<Duration> RetryAfter;
  if (Status == 503)
    RetryAfter = retryAfter(NotReadyRetryAfter, randomFraction());
  return platform::makeErrorReply(Status, "", Reason, RetryAfter);
}

asio::awaitable<void> EntryGateway::openMetrics() {
  Endpoint Address{Settings_.Listen_.Address_,
                   static_cast<std::uint16_t>(Settings_.Listen_.MetricsPort_)};
  bool IsLogged = false;
  Status Opened = MetricsPage_.listen(Address);
  while (!isOk(Opened)) {
    if (!std::exchange(IsLogged, true))
      logEvent(LogLevel::Warning, "metrics_unavailable",
               {{"reason", errorOf(Opened).describe()}});
    co_await pauseFor(MetricsRetryDelay);
    if (Draining_)
      co_return;
    Opened = MetricsPage_.listen(Address);
  }
}

void EntryGateway::stop() {
  Callers_.close();
  Ready_.close();
  MetricsPage_.close();
}

std::map<std::string, std::uint16_t> EntryGateway::ports() const {
  return {{"caller", Callers_.port()}, {"ready", Ready_.port()}};
}

void EntryGateway::beginDrain() {
  Draining_ = true;
  Callers_.beginDrain();
  Shared_.Reach_->beginDrain();
}

void EntryGateway::refuseBeyond(TimePoint StopAt) {
  StopAt_ = StopAt;
  logEvent(LogLevel::Info, "long_requests_refused",
           {{"stop_in_ms", toMillis(StopAt - BootClock::now())}});
}

void EntryGateway::closeIdle() {
  ClosedConnections Counts = Callers_.close();
  logEvent(LogLevel::Info, "idle_connections_closed",
           {{"closed", Counts.IdleCount_}, {"kept", Counts.BusyCount_}});
}

asio::awaitable<void> EntryGateway::endOutdatedWaits(std::string Model,
                                                     std::string Adapter) {
  const VersionRequirements &Versions = Plans_->versions();
  // The version before the newest one is the last to become outdated.
  auto Limit =
      Versions.waitLimit(Model, Adapter, Versions.newest(Model, Adapter) - 1);
  if (!Limit)
    co_return;
  co_await pauseFor(*Limit - BootClock::now());
  TimePoint Now = std::max(*Limit, BootClock::now());
  for (RequestRun &Run : Shared_.Running_)
    Run.endIfOutdated(Versions, Now);
}

std::string EntryGateway::notReadyReason() const {
  if (Draining_)
    return "stopping";
  if (!Plans_->current())
    return "no configuration";
  if (!Targets_->roster().age(BootClock::now()))
    return "no list of targets";
  if (!Plans_->keysAreFresh(BootClock::now()))
    return "configuration not confirmed";
  if (Plans_->isTooFarBehind(BootClock::now()))
    return "configuration outdated";
  return "";
}

asio::awaitable<void> EntryGateway::respondReady(HttpExchange &Exchange) {
  std::string Reason = notReadyReason();
  HttpReply Reply{Reason.empty() ? 200 : 503,
                  {{"Content-Type", "text/plain"}},
                  Reason.empty() ? "ready" : Reason};
  co_await Exchange.respond(std::move(Reply));
}

/// A digest that is equal for requests with the same method, path, customer
/// and body.
static std::string digestOf(const HttpRequest &Request,
                            const CustomerPlan *Customer) {
  std::string Text = Request.Method_ + ' ' + Request.Target_ + '\n';
  if (Customer)
    Text += Customer->Name_;
  Text += '\n' + Request.Body_;
  return hexText(stableHash(Text));
}

std::optional<EntryGateway::Refusal>
EntryGateway::admitKey(EntryRequest &Admitted) {
  const ServingPlan &Plan = *Admitted.Plan_;
  Admitted.Customer_ = Plan.findCustomerOfKey(Admitted.Fields_.Key_);
  bool NeedsKey = Plan.hasCustomers() && !Admitted.Route_->KeyOptional_;
  if (!NeedsKey)
    return std::nullopt;
  // Without a fresh plan, a withdrawn key can't be distinguished from a valid
  // one.
  if (!Plans_->keysAreFresh(Admitted.ArrivedAt_))
    return Refusal{503, NotConfirmed, NotReadyRetryAfter};
  if (!Admitted.Customer_ && !Plans_->mayDeny(Admitted.ArrivedAt_))
    return Refusal{503, NotConfirmed, NotReadyRetryAfter};
  if (!Admitted.Customer_)
    return Refusal{401, "the key is not known", std::nullopt};
  return std::nullopt;
}

double EntryGateway::chargeOf(const EntryRequest &Admitted) const {
  return Admitted.Fields_.HasTokenCounts_
             ? Admitted.Fields_.ChargeTokens_
             : Admitted.Customer_->DefaultRequestTokens_;
}

std::optional<EntryGateway::Refusal>
EntryGateway::admitCharge(EntryRequest &Admitted) {
  if (!Admitted.Customer_)
    return std::nullopt;
  BudgetDecision Decision = Shared_.Fleet_->budget().charge(
      Admitted.Customer_->Name_, chargeOf(Admitted), Admitted.ArrivedAt_);
  if (Decision.Allowed_)
    return std::nullopt;
  Duration Wait = std::min(Decision.RetryAfter_, MaxRateRetryAfter);
  return Refusal{429, "the customer's rate is used up", Wait};
}

std::optional<EntryGateway::Refusal>
EntryGateway::admit(const HttpRequest &Request, EntryRequest &Admitted) {
  Admitted.Plan_ = Plans_->current();
  if (!Admitted.Plan_)
    return Refusal{503, "no configuration yet", NotReadyRetryAfter};
  if (Plans_->isTooFarBehind(Admitted.ArrivedAt_))
    return Refusal{503, "a newer configuration is not in force yet",
                   NotReadyRetryAfter};
  Admitted.Route_ =
      Admitted.Plan_->findRoute(Admitted.Fields_.Host_, Request.path());
  // A newer plan may have the route, or the key.
  if (!Admitted.Route_ && !Plans_->mayDeny(Admitted.ArrivedAt_))
    return Refusal{503, NotConfirmed, NotReadyRetryAfter};
  if (!Admitted.Route_)
    return Refusal{404, "no route matches", std::nullopt};
  if (auto Refused = admitKey(Admitted))
    return Refused;
  // The name goes into orders to engines, which are JSON.
  if (!isUtf8(Admitted.Fields_.Model_) || !isUtf8(Admitted.Fields_.Adapter_))
    return Refusal{400, "the name of the model or adapter is not UTF-8",
                   std::nullopt};
  Admitted.Digest_ = digestOf(Request, Admitted.Customer_);
  if (Shared_.Fleet_->isRefusedDigest(Admitted.Digest_, Admitted.ArrivedAt_))
    return Refusal{503, CrashesTargets, std::nullopt};
  // The last part belongs to the request or its session.
  const std::vector<std::string> &Parts = Admitted.Fields_.PromptParts_;
  for (std::size_t Index = 0; Index + 1 < Parts.size(); ++Index)
    Admitted.Parts_.push_back(stableHash(Parts[Index]));
  if (Shared_.Fleet_->promptParts().decide(
          Admitted.Parts_, Admitted.ArrivedAt_) == PartDecision::Refuse)
    return Refusal{503, CrashesTargets, std::nullopt};
  Admitted.Service_ = chooseService(*Admitted.Route_, randomFraction());
  Duration Timeout =
      std::min(Admitted.Fields_.WaitLimit_.value_or(DefaultTimeout),
               Admitted.Route_->Timeout_);
  Admitted.Deadline_ = Admitted.ArrivedAt_ + Timeout;
  if (StopAt_ && Admitted.Deadline_ > *StopAt_)
    return Refusal{503, "the VM stops before the deadline", NotReadyRetryAfter};
  return admitCharge(Admitted);
}

asio::awaitable<void> EntryGateway::handle(HttpExchange &Exchange) {
  EntryRequest Admitted;
  Admitted.ArrivedAt_ = BootClock::now();
  Admitted.Fields_ = platform::decodeCallerFields(Exchange.request());
  if (auto Refused = admit(Exchange.request(), Admitted)) {
    auto ConfirmedAt = Plans_->confirmedAt();
    logEvent(
        LogLevel::Info, "request_refused",
        {{"request", Admitted.Fields_.RequestId_},
         {"status", Refused->Status_},
         {"reason", Refused->Reason_},
         {"route", Admitted.Route_ ? Admitted.Route_->Name_ : ""},
         {"customer", Admitted.Customer_ ? Admitted.Customer_->Name_ : ""},
         {"revision", Admitted.Plan_ ? Admitted.Plan_->revision() : 0},
         {"evidence_age_ms",
          ConfirmedAt ? toMillis(Admitted.ArrivedAt_ - *ConfirmedAt) : -1}});
    Shared_.Metrics_->count("anvil_refusals_total",
                            {{"status", std::to_string(Refused->Status_)},
                             {"reason", std::string(Refused->Reason_)}});
    std::optional<Duration> RetryAfter = Refused->RetryAfter_;
    if (RetryAfter)
      RetryAfter = retryAfter(*RetryAfter, randomFraction());
    HttpReply Reply =
        platform::makeErrorReply(Refused->Status_, Admitted.Fields_.RequestId_,
                                 Refused->Reason_, RetryAfter);
    co_await Exchange.respond(std::move(Reply));
    co_return;
  }
  std::string Customer = Admitted.Customer_ ? Admitted.Customer_->Name_ : "";
  double Charge = Admitted.Customer_ ? chargeOf(Admitted) : 0;
  RequestRun Run(Shared_, Exchange, std::move(Admitted));
  co_await Run.serve();
  if (Run.neverRan() && !Customer.empty())
    Shared_.Fleet_->budget().refund(Customer, Charge, BootClock::now());
}

} // namespace anvil
