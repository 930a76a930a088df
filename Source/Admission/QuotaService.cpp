#include "Admission/QuotaService.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Peer/PeerMessage.h"
#include "Telemetry/Log.h"

#include <algorithm>
#include <cmath>

namespace anvil {

namespace asio = boost::asio;

/// Time constant of the exponential decay of demand.
static constexpr Duration DemandMemory = std::chrono::seconds(10);

/// How long no loans are requested after the other VMs had no tokens.
static constexpr Duration DryPause = std::chrono::milliseconds(100);

/// Requests of one customer that may borrow from other VMs at the same time.
static constexpr int AskingLimit = 8;

/// The balance, in seconds of demand, below which tokens are prefetched.
static constexpr double FetchBelowSeconds = 0.25;

/// Tokens to prefetch, in seconds of demand.
static constexpr double FetchSeconds = 0.5;

/// How long cached leases are not used after a VM that holds a part stopped or
/// did not reply.
static constexpr Duration HolderRecheck = std::chrono::seconds(5);

/// Lower limit for Retry-After.
static constexpr Duration ShortestRetry = std::chrono::milliseconds(100);

static Duration millis(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

static QuotaTiming timingOf(const QuotaSettings &Given) {
  QuotaTiming Timing;
  Timing.LoanTerm_ = millis(Given.LoanMs_);
  Timing.Margin_ = millis(Given.LoanMarginMs_);
  return Timing;
}

QuotaService::QuotaService(asio::any_io_executor Executor,
                           const DaemonSettings &Settings,
                           std::string Incarnation, TimerService &Timers,
                           const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      State_(Services.require<ConfigState>(ConfigState::Name)),
      Platform_(Services.require<PlatformService>(PlatformService::Name)),
      Network_(Services.require<PeerNetwork>(PeerNetwork::Name)),
      Members_(Services.require<MembershipService>(MembershipService::Name)),
      Keeper_(Services.require<QuotaKeeper>(QuotaKeeper::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      Holder_(timingOf(Settings.Quota_), millis(Settings.Quota_.LeaseMs_),
              millis(Settings.Quota_.PromiseMs_), Settings.Vm_,
              Settings.DataCentre_, std::move(Incarnation), BootClock::now()) {}

std::vector<std::string> QuotaService::dependencies() const {
  return {std::string(ConfigState::Name), std::string(QuotaKeeper::Name)};
}

Status QuotaService::start() {
  answerOthers();
  Keeper_->onOwnLease([this] { return Holder_.lease(); });
  Tick_ = Timers_.every(std::chrono::milliseconds(50), BootClock::now(),
                        [this](TimePoint Now) { tick(Now); });
  tick(BootClock::now());
  return std::monostate{};
}

void QuotaService::stop() {
  Stopped_ = true;
  Tick_.cancel();
}

std::optional<QuotaService::Limits>
QuotaService::limitsOf(const std::string &Name) const {
  constexpr std::string_view StorePrefix = "store/";
  const ObjectSet &Objects = State_->current()->Objects_;
  if (Name.starts_with(StorePrefix)) {
    const auto *Store =
        Objects.find<WeightStore>(Name.substr(StorePrefix.size()));
    if (!Store)
      return std::nullopt;
    // The burst of a store is the number of loads that it serves concurrently.
    auto Burst =
        static_cast<double>(std::max<std::int64_t>(1, Store->ConcurrentLoads_));
    return Limits{Name, Store->LoadsPerSecond_, Burst};
  }
  const auto *Owner = Objects.find<Customer>(Name);
  if (!Owner)
    return std::nullopt;
  return Limits{Name, Owner->RateTokensPerSecond_, Owner->BurstTokens_};
}

QuotaShare &QuotaService::shareOf(const Limits &Given, TimePoint Now) {
  return Holder_.share(Given.Name_, Given.Rate_, Given.Burst_, Now);
}

double QuotaService::demandOf(const Tracked &Known, TimePoint Now) {
  double Age = toSeconds(Now - Known.DemandAt_) / toSeconds(DemandMemory);
  return Known.Demand_ * std::exp(-Age);
}

QuotaService::Tracked &QuotaService::track(const Limits &Given, double Tokens,
                                           TimePoint Now) {
  Tracked &Known = Tracked_[Given.Name_];
  Known.Limits_ = Given;
  Known.Demand_ = demandOf(Known, Now) + Tokens / toSeconds(DemandMemory);
  Known.DemandAt_ = Now;
  return Known;
}

asio::awaitable<Outcome<QuotaCharge>>
QuotaService::charge(const RequestContext &Request) {
  const Customer *Owner =
      Request.Snapshot_->Objects_.find<Customer>(Request.Customer_);
  if (!Owner) {
    QuotaCharge Free{Request.Customer_, 0};
    co_return Free;
  }
  Limits Given{Owner->Name_, Owner->RateTokensPerSecond_, Owner->BurstTokens_};
  co_return co_await take(std::move(Given), Request.UpperBoundTokens_);
}

asio::awaitable<Outcome<QuotaCharge>>
QuotaService::takeLoadToken(std::string StoreName) {
  auto Given = limitsOf("store/" + StoreName);
  if (!Given) {
    QuotaCharge Free;
    co_return Free;
  }
  co_return co_await take(*Given, 1);
}

asio::awaitable<Outcome<QuotaCharge>> QuotaService::take(Limits Given,
                                                         double Tokens) {
  TimePoint Now = BootClock::now();
  MetricLabels Labels{{"customer", Given.Name_}};
  // The reserve is split into floors of single VMs and cannot be collected on
  // one VM.
  if (Tokens > Given.Burst_ * (1 - Reserve_)) {
    Metrics_->count("anvil_quota_refused_total",
                    {{"customer", Given.Name_}, {"cause", "exceeds_burst"}});
    co_return Refusal{
        RefusalCode::ExceedsBurst,
        "the request can cost more than the customer's burst allows",
        Execution::No, std::nullopt};
  }
  Tracked &Known = track(Given, Tokens, Now);
  bool IsTaken = shareOf(Given, Now).spend(Tokens, Now);
  if (!IsTaken && !Known.Known_) {
    co_await firstRead(Given);
    Now = BootClock::now();
    IsTaken = shareOf(Given, Now).spend(Tokens, Now);
  }
  if (!IsTaken)
    IsTaken = co_await collect(Given, Tokens);
  if (!IsTaken && Known.IsFresh_) {
    co_await refresh(Given);
    Now = BootClock::now();
    IsTaken = shareOf(Given, Now).spend(Tokens, Now);
  }
  Now = BootClock::now();
  if (!IsTaken) {
    Metrics_->count("anvil_quota_refused_total",
                    {{"customer", Given.Name_}, {"cause", "rate_exceeded"}});
    co_return refuse(Given, Tokens, Now);
  }
  Metrics_->count("anvil_quota_tokens_admitted_total", Labels, Tokens);
  double Low = demandOf(Known, Now) * FetchBelowSeconds;
  if (Known.Asking_ == 0 && shareOf(Given, Now).balance(Now) < Low)
    spawn(Executor_, prefetch(Given));
  QuotaCharge Charge{Given.Name_, Tokens};
  co_return Charge;
}

Refusal QuotaService::refuse(const Limits &Given, double Tokens,
                             TimePoint Now) {
  QuotaShare &Share = shareOf(Given, Now);
  double Missing = Tokens - Share.balance(Now);
  for (const auto &[Vm, Other] : Tracked_[Given.Name_].Holders_)
    Missing -= guess(Given, Other, Now);
  Duration Wait = Share.waitFor(Tokens, Now);
  // All VMs together receive the customer's whole rate.
  if (Given.Rate_ > 0) {
    double Seconds = std::max(0.0, Missing) / Given.Rate_;
    Duration Together =
        std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
    Wait = std::min(Wait, Together);
  }
  std::optional<Duration> Retry;
  if (Wait != Duration::max())
    Retry = std::max(Wait, ShortestRetry);
  return {RefusalCode::RateExceeded, "the customer's rate is used up",
          Execution::No, Retry};
}

void QuotaService::settle(const QuotaCharge &Charge, double UsedTokens) {
  QuotaShare *Share = Holder_.find(Charge.Customer_);
  double Unused = Charge.Tokens_ - std::max(0.0, UsedTokens);
  if (Share && Unused > 0)
    Share->refund(Unused, BootClock::now());
}

bool QuotaService::isIn(const std::string &Vm,
                        const std::string &DataCentre) const {
  auto Found = Members_->members().find(Vm);
  return Found != Members_->members().end() &&
         Found->second.DataCentre_ == DataCentre;
}

double QuotaService::guess(const Limits &Given, const OtherHolder &Other,
                           TimePoint Now) {
  double Grown = Other.Part_ * Given.Rate_ * toSeconds(Now - Other.At_);
  return std::min(Other.Part_ * Given.Burst_, Other.Left_ + Grown);
}

std::vector<std::string> QuotaService::givers(const Tracked &Known,
                                              TimePoint Now) const {
  std::vector<std::string> Order;
  for (const auto &[Vm, Other] : Known.Holders_)
    if (Members_->members().contains(Vm))
      Order.push_back(Vm);
  // VMs of this data centre can lend their floors even if no row is readable.
  for (const std::string &Vm : Members_->liveIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_ && !Known.Holders_.contains(Vm))
      Order.push_back(Vm);
  auto Rank = [&](const std::string &Vm) {
    auto Found = Known.Holders_.find(Vm);
    bool IsHolder = Found != Known.Holders_.end();
    double Left = IsHolder ? guess(Known.Limits_, Found->second, Now) : 0;
    return std::pair(!isIn(Vm, Settings_.DataCentre_), -Left);
  };
  std::ranges::sort(Order, {}, Rank);
  return Order;
}

asio::awaitable<bool> QuotaService::collect(Limits Given, double Tokens) {
  Tracked &Known = Tracked_[Given.Name_];
  TimePoint Now = BootClock::now();
  if (Known.Asking_ >= AskingLimit || Now < Known.DryUntil_)
    co_return false;
  ++Known.Asking_;
  double Ahead = demandOf(Known, Now) * FetchSeconds;
  auto Around = std::make_shared<Collecting>(
      Executor_, QuotaRound(givers(Known, Now),
                            millis(Settings_.Quota_.BorrowWaitMs_), Now));
  bool IsTaken = shareOf(Given, Now).spend(Tokens, Now);
  while (!IsTaken && !Around->Round_.isOver(Now)) {
    if (auto Vm = Around->Round_.next(Now)) {
      double Needed = Tokens - shareOf(Given, Now).balance(Now);
      spawn(Executor_, askInRound(Around, Given, *Vm, Needed, Needed + Ahead));
    } else {
      co_await pauseFor(Around->Changed_, Around->Round_.wakeAt() - Now);
    }
    Now = BootClock::now();
    IsTaken = shareOf(Given, Now).spend(Tokens, Now);
  }
  --Known.Asking_;
  if (!IsTaken)
    Known.DryUntil_ = BootClock::now() + DryPause;
  co_return IsTaken;
}

asio::awaitable<void>
QuotaService::askInRound(std::shared_ptr<Collecting> Around, Limits Given,
                         std::string Vm, double Needed, double Wanted) {
  Duration Left = Around->Round_.deadline() - BootClock::now();
  double Got = co_await askPeer(std::move(Given), std::move(Vm), Needed, Wanted,
                                std::max(Left, Duration::zero()));
  Around->Round_.answered(Got > 0);
  Around->Changed_.cancel();
}

asio::awaitable<void> QuotaService::prefetch(Limits Given) {
  Tracked &Known = Tracked_[Given.Name_];
  TimePoint Now = BootClock::now();
  auto Order = givers(Known, Now);
  if (Order.empty() || Now < Known.DryUntil_ || Known.Asking_ > 0)
    co_return;
  ++Known.Asking_;
  double Ahead = demandOf(Known, Now) * FetchSeconds;
  double Got = co_await askPeer(Given, Order.front(), 0, Ahead,
                                millis(Settings_.Quota_.BorrowWaitMs_));
  --Known.Asking_;
  if (Got <= 0)
    Known.DryUntil_ = BootClock::now() + DryPause;
}

asio::awaitable<double> QuotaService::askPeer(Limits Given, std::string Vm,
                                              double Needed, double Wanted,
                                              Duration Timeout) {
  QuotaBalanceRequest Asked{Given.Name_, Settings_.DataCentre_, Needed, Wanted};
  TimePoint Sent = BootClock::now();
  auto Reply =
      co_await callPeer<QuotaBalanceReply>(*Network_, Vm, Asked, Timeout);
  TimePoint Now = BootClock::now();
  OtherHolder &Other = Tracked_[Given.Name_].Holders_[Vm];
  Other.At_ = Now;
  Other.Left_ = 0;
  if (!isOk(Reply)) {
    // The VM may have terminated: re-read the leases soon to see whether its
    // lease has ended.
    AliveFrom_ = std::max(AliveFrom_, Now + HolderRecheck);
    co_return 0;
  }
  const QuotaBalanceReply &Got = valueOf(Reply);
  Other.Left_ = Got.Left_;
  if (Got.Tokens_ <= 0)
    co_return 0;
  QuotaLoan Loan{Got.Tokens_, Duration(Got.TermMicros_)};
  shareOf(Given, Now).borrow(Loan, Sent, Now);
  Metrics_->count("anvil_quota_tokens_borrowed_total",
                  {{"customer", Given.Name_}}, Got.Tokens_);
  co_return Got.Tokens_;
}

void QuotaService::answerOthers() {
  answerPeers<QuotaBalanceRequest>(
      *Network_,
      [this](std::string,
             QuotaBalanceRequest Asked) -> asio::awaitable<QuotaBalanceReply> {
        QuotaBalanceReply Reply;
        TimePoint Now = BootClock::now();
        auto Given = limitsOf(Asked.Customer_);
        if (!Given || Stopped_)
          co_return Reply;
        bool WithFloor = Asked.DataCentre_ == Settings_.DataCentre_;
        QuotaShare &Share = shareOf(*Given, Now);
        double Wanted = GivesAll_ ? 2 * Share.balance(Now) : Asked.Wanted_;
        QuotaLoan Loan = Share.lend(Asked.Needed_, Wanted, WithFloor, Now);
        Reply.Tokens_ = Loan.Tokens_;
        Reply.TermMicros_ = Loan.Term_.count();
        Reply.Left_ = Share.balance(Now);
        if (Loan.Tokens_ > 0)
          Metrics_->count("anvil_quota_tokens_lent_total",
                          {{"customer", Asked.Customer_}}, Loan.Tokens_);
        co_return Reply;
      });
  answerPeers<QuotaHandover>(
      *Network_,
      [this](std::string From,
             QuotaHandover Asked) -> asio::awaitable<QuotaHandoverReply> {
        QuotaHandoverReply Reply;
        // Its parts will be released soon, so re-read the leases.
        AliveFrom_ = BootClock::now() + HolderRecheck;
        for (const std::string &Name : Asked.Customers_) {
          auto Given = limitsOf(Name);
          if (!Given || Stopped_)
            continue;
          co_await askPeer(*Given, From, 0, Given->Burst_,
                           millis(Settings_.Quota_.BorrowWaitMs_));
          ++Reply.Taken_;
        }
        co_return Reply;
      });
}

} // namespace anvil
