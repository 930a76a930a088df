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
static constexpr Duration DemandDecayTime = std::chrono::seconds(10);

/// How long no loans are requested after the other VMs had no tokens.
static constexpr Duration BorrowBackOff = std::chrono::milliseconds(100);

/// Requests of one customer that may borrow from other VMs at the same time.
static constexpr int MaxConcurrentBorrows = 8;

/// The balance, in seconds of demand, below which tokens are prefetched.
static constexpr double PrefetchThresholdSeconds = 0.25;

/// Tokens to prefetch, in seconds of demand.
static constexpr double PrefetchSeconds = 0.5;

/// How long cached leases are not used after a VM that holds a part stopped or
/// did not reply.
static constexpr Duration LeaseRereadPeriod = std::chrono::seconds(5);

/// Lower limit for Retry-After.
static constexpr Duration MinRetryAfter = std::chrono::milliseconds(100);

static Duration millis(std::int64_t Count) {
  return std::chrono::milliseconds(Count);
}

static QuotaTiming timingOf(const QuotaSettings &Settings) {
  QuotaTiming Timing;
  Timing.LoanTerm_ = millis(Settings.LoanMs_);
  Timing.Margin_ = millis(Settings.LoanMarginMs_);
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
      LeaseService_(
          Services.require<QuotaLeaseService>(QuotaLeaseService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      Holder_(timingOf(Settings.Quota_), millis(Settings.Quota_.LeaseMs_),
              millis(Settings.Quota_.PromiseMs_), Settings.Vm_,
              Settings.DataCentre_, std::move(Incarnation), BootClock::now()) {}

std::vector<std::string> QuotaService::dependencies() const {
  return {std::string(ConfigState::Name), std::string(QuotaLeaseService::Name)};
}

Status QuotaService::start() {
  registerHandlers();
  LeaseService_->setOwnLeaseSource([this] { return Holder_.lease(); });
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

QuotaShare &QuotaService::shareOf(const Limits &Quota, TimePoint Now) {
  return Holder_.share(Quota.Name_, Quota.Rate_, Quota.Burst_, Now);
}

double QuotaService::demandOf(const CustomerState &State, TimePoint Now) {
  double Age =
      toSeconds(Now - State.DemandUpdatedAt_) / toSeconds(DemandDecayTime);
  return State.Demand_ * std::exp(-Age);
}

QuotaService::CustomerState &QuotaService::track(const Limits &Quota,
                                                 double Tokens, TimePoint Now) {
  CustomerState &State = Customers_[Quota.Name_];
  State.Limits_ = Quota;
  State.Demand_ = demandOf(State, Now) + Tokens / toSeconds(DemandDecayTime);
  State.DemandUpdatedAt_ = Now;
  return State;
}

asio::awaitable<Outcome<QuotaCharge>>
QuotaService::charge(const RequestContext &Request) {
  const Customer *Owner =
      Request.Snapshot_->Objects_.find<Customer>(Request.Customer_);
  if (!Owner) {
    QuotaCharge Uncharged{Request.Customer_, 0};
    co_return Uncharged;
  }
  Limits Quota{Owner->Name_, Owner->RateTokensPerSecond_, Owner->BurstTokens_};
  co_return co_await acquireTokens(std::move(Quota), Request.UpperBoundTokens_);
}

asio::awaitable<Outcome<QuotaCharge>>
QuotaService::chargeLoad(std::string StoreName) {
  auto Quota = limitsOf("store/" + StoreName);
  if (!Quota) {
    QuotaCharge Uncharged;
    co_return Uncharged;
  }
  co_return co_await acquireTokens(*Quota, 1);
}

asio::awaitable<Outcome<QuotaCharge>>
QuotaService::acquireTokens(Limits Quota, double Tokens) {
  TimePoint Now = BootClock::now();
  MetricLabels Labels{{"customer", Quota.Name_}};
  // The reserve is split into floors of single VMs and cannot be collected on
  // one VM.
  if (Tokens > Quota.Burst_ * (1 - Reserve_)) {
    Metrics_->count("anvil_quota_refused_total",
                    {{"customer", Quota.Name_}, {"cause", "exceeds_burst"}});
    co_return Refusal{
        RefusalCode::ExceedsBurst,
        "the request can cost more than the customer's burst allows",
        Execution::No, std::nullopt};
  }
  CustomerState &State = track(Quota, Tokens, Now);
  bool IsCharged = shareOf(Quota, Now).spend(Tokens, Now);
  if (!IsCharged && !State.RowRead_) {
    co_await awaitFirstRead(Quota);
    Now = BootClock::now();
    IsCharged = shareOf(Quota, Now).spend(Tokens, Now);
  }
  if (!IsCharged)
    IsCharged = co_await borrowFromPeers(Quota, Tokens);
  if (!IsCharged && State.HasUnissued_) {
    co_await refresh(Quota);
    Now = BootClock::now();
    IsCharged = shareOf(Quota, Now).spend(Tokens, Now);
  }
  Now = BootClock::now();
  if (!IsCharged) {
    Metrics_->count("anvil_quota_refused_total",
                    {{"customer", Quota.Name_}, {"cause", "rate_exceeded"}});
    co_return refuse(Quota, Tokens, Now);
  }
  Metrics_->count("anvil_quota_tokens_admitted_total", Labels, Tokens);
  double Threshold = demandOf(State, Now) * PrefetchThresholdSeconds;
  if (State.ActiveBorrows_ == 0 && shareOf(Quota, Now).balance(Now) < Threshold)
    spawn(Executor_, prefetch(Quota));
  QuotaCharge Charge{Quota.Name_, Tokens};
  co_return Charge;
}

Refusal QuotaService::refuse(const Limits &Quota, double Tokens,
                             TimePoint Now) {
  QuotaShare &Share = shareOf(Quota, Now);
  double Missing = Tokens - Share.balance(Now);
  for (const auto &[Vm, Peer] : Customers_[Quota.Name_].PeerAllocations_)
    Missing -= estimateBalance(Quota, Peer, Now);
  Duration Wait = Share.waitFor(Tokens, Now);
  // All VMs together receive the customer's whole rate.
  if (Quota.Rate_ > 0) {
    double Seconds = std::max(0.0, Missing) / Quota.Rate_;
    Duration FleetWait =
        std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
    Wait = std::min(Wait, FleetWait);
  }
  std::optional<Duration> Retry;
  if (Wait != Duration::max())
    Retry = std::max(Wait, MinRetryAfter);
  return {RefusalCode::RateExceeded, "the customer's rate is used up",
          Execution::No, Retry};
}

void QuotaService::settle(const QuotaCharge &Charge, double UsedTokens) {
  QuotaShare *Share = Holder_.find(Charge.Customer_);
  double Unused = Charge.Tokens_ - std::max(0.0, UsedTokens);
  if (Share && Unused > 0)
    Share->refund(Unused, BootClock::now());
}

bool QuotaService::isInDataCentre(const std::string &Vm,
                                  const std::string &DataCentre) const {
  auto Found = Members_->members().find(Vm);
  return Found != Members_->members().end() &&
         Found->second.DataCentre_ == DataCentre;
}

double QuotaService::estimateBalance(const Limits &Quota,
                                     const PeerAllocation &Peer,
                                     TimePoint Now) {
  double Grown = Peer.Part_ * Quota.Rate_ * toSeconds(Now - Peer.UpdatedAt_);
  return std::min(Peer.Part_ * Quota.Burst_, Peer.Remaining_ + Grown);
}

std::vector<std::string> QuotaService::lenders(const CustomerState &State,
                                               TimePoint Now) const {
  std::vector<std::string> Candidates;
  for (const auto &[Vm, Peer] : State.PeerAllocations_)
    if (Members_->members().contains(Vm))
      Candidates.push_back(Vm);
  // VMs of this data centre can lend their floors even if no row is readable.
  for (const std::string &Vm : Members_->liveVmsIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_ && !State.PeerAllocations_.contains(Vm))
      Candidates.push_back(Vm);
  auto Rank = [&](const std::string &Vm) {
    auto Found = State.PeerAllocations_.find(Vm);
    bool IsHolder = Found != State.PeerAllocations_.end();
    double Remaining =
        IsHolder ? estimateBalance(State.Limits_, Found->second, Now) : 0;
    return std::pair(!isInDataCentre(Vm, Settings_.DataCentre_), -Remaining);
  };
  std::ranges::sort(Candidates, {}, Rank);
  return Candidates;
}

asio::awaitable<bool> QuotaService::borrowFromPeers(Limits Quota,
                                                    double Tokens) {
  CustomerState &State = Customers_[Quota.Name_];
  TimePoint Now = BootClock::now();
  if (State.ActiveBorrows_ >= MaxConcurrentBorrows || Now < State.BackOffUntil_)
    co_return false;
  ++State.ActiveBorrows_;
  double PrefetchTokens = demandOf(State, Now) * PrefetchSeconds;
  auto Operation = std::make_shared<BorrowOperation>(
      Executor_, QuotaBorrowRound(lenders(State, Now),
                                  millis(Settings_.Quota_.BorrowWaitMs_), Now));
  bool IsCharged = shareOf(Quota, Now).spend(Tokens, Now);
  while (!IsCharged && !Operation->Round_.isOver(Now)) {
    if (auto Vm = Operation->Round_.next(Now)) {
      double Needed = Tokens - shareOf(Quota, Now).balance(Now);
      spawn(Executor_, borrowInRound(Operation, Quota, *Vm, Needed,
                                     Needed + PrefetchTokens));
    } else {
      co_await pauseFor(Operation->Changed_, Operation->Round_.wakeAt() - Now);
    }
    Now = BootClock::now();
    IsCharged = shareOf(Quota, Now).spend(Tokens, Now);
  }
  --State.ActiveBorrows_;
  if (!IsCharged)
    State.BackOffUntil_ = BootClock::now() + BorrowBackOff;
  co_return IsCharged;
}

asio::awaitable<void>
QuotaService::borrowInRound(std::shared_ptr<BorrowOperation> Operation,
                            Limits Quota, std::string Vm, double Needed,
                            double Desired) {
  Duration Remaining = Operation->Round_.deadline() - BootClock::now();
  double Borrowed =
      co_await borrowFromPeer(std::move(Quota), std::move(Vm), Needed, Desired,
                              std::max(Remaining, Duration::zero()));
  Operation->Round_.recordReply(Borrowed > 0);
  Operation->Changed_.cancel();
}

asio::awaitable<void> QuotaService::prefetch(Limits Quota) {
  CustomerState &State = Customers_[Quota.Name_];
  TimePoint Now = BootClock::now();
  auto Candidates = lenders(State, Now);
  if (Candidates.empty() || Now < State.BackOffUntil_ ||
      State.ActiveBorrows_ > 0)
    co_return;
  ++State.ActiveBorrows_;
  double PrefetchTokens = demandOf(State, Now) * PrefetchSeconds;
  double Borrowed =
      co_await borrowFromPeer(Quota, Candidates.front(), 0, PrefetchTokens,
                              millis(Settings_.Quota_.BorrowWaitMs_));
  --State.ActiveBorrows_;
  if (Borrowed <= 0)
    State.BackOffUntil_ = BootClock::now() + BorrowBackOff;
}

asio::awaitable<double>
QuotaService::borrowFromPeer(Limits Quota, std::string Vm, double Needed,
                             double Desired, Duration Timeout) {
  QuotaBalanceRequest Request{Quota.Name_, Settings_.DataCentre_, Needed,
                              Desired};
  TimePoint SentAt = BootClock::now();
  auto Reply =
      co_await callPeer<QuotaBalanceReply>(*Network_, Vm, Request, Timeout);
  TimePoint Now = BootClock::now();
  PeerAllocation &Peer = Customers_[Quota.Name_].PeerAllocations_[Vm];
  Peer.UpdatedAt_ = Now;
  Peer.Remaining_ = 0;
  if (!isOk(Reply)) {
    // The VM may have terminated: re-read the leases soon to see whether its
    // lease has ended.
    RereadLeasesUntil_ = std::max(RereadLeasesUntil_, Now + LeaseRereadPeriod);
    co_return 0;
  }
  const QuotaBalanceReply &Borrowed = valueOf(Reply);
  Peer.Remaining_ = Borrowed.Remaining_;
  if (Borrowed.Tokens_ <= 0)
    co_return 0;
  QuotaLoan Loan{Borrowed.Tokens_, Duration(Borrowed.TermMicros_)};
  shareOf(Quota, Now).borrow(Loan, SentAt, Now);
  Metrics_->count("anvil_quota_tokens_borrowed_total",
                  {{"customer", Quota.Name_}}, Borrowed.Tokens_);
  co_return Borrowed.Tokens_;
}

void QuotaService::registerHandlers() {
  handlePeerRequests<QuotaBalanceRequest>(
      *Network_,
      [this](std::string, QuotaBalanceRequest Request)
          -> asio::awaitable<QuotaBalanceReply> {
        QuotaBalanceReply Reply;
        TimePoint Now = BootClock::now();
        auto Quota = limitsOf(Request.Customer_);
        if (!Quota || Stopped_)
          co_return Reply;
        bool WithFloor = Request.DataCentre_ == Settings_.DataCentre_;
        QuotaShare &Share = shareOf(*Quota, Now);
        double Desired =
            HandingOver_ ? 2 * Share.balance(Now) : Request.Desired_;
        QuotaLoan Loan = Share.lend(Request.Needed_, Desired, WithFloor, Now);
        Reply.Tokens_ = Loan.Tokens_;
        Reply.TermMicros_ = Loan.Term_.count();
        Reply.Remaining_ = Share.balance(Now);
        if (Loan.Tokens_ > 0)
          Metrics_->count("anvil_quota_tokens_lent_total",
                          {{"customer", Request.Customer_}}, Loan.Tokens_);
        co_return Reply;
      });
  handlePeerRequests<QuotaHandover>(
      *Network_,
      [this](std::string From,
             QuotaHandover Request) -> asio::awaitable<QuotaHandoverReply> {
        QuotaHandoverReply Reply;
        // Its parts will be released soon, so re-read the leases.
        RereadLeasesUntil_ = BootClock::now() + LeaseRereadPeriod;
        for (const std::string &Name : Request.Customers_) {
          auto Quota = limitsOf(Name);
          if (!Quota || Stopped_)
            continue;
          co_await borrowFromPeer(*Quota, From, 0, Quota->Burst_,
                                  millis(Settings_.Quota_.BorrowWaitMs_));
          ++Reply.RequestedCustomers_;
        }
        co_return Reply;
      });
}

} // namespace anvil
