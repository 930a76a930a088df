#include "Admission/QuotaService.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Peer/PeerMessage.h"
#include "Telemetry/Log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// Number of renewals per lease term.
static constexpr int RenewalsPerTerm = 4;

/// Delay before a renewal that did not reach the row is retried.
static constexpr Duration RenewalRetryDelay = std::chrono::milliseconds(500);

/// The shortest interval between two refreshes of customers' rows.
static constexpr Duration MinRefreshInterval = std::chrono::milliseconds(200);

/// Age at which a customer's row is read again.
static constexpr Duration MaxRowAge = std::chrono::seconds(1);

/// Maximum age of the cached list of leases: a minimum, and an amount for every
/// VM of the system, so that the number of reads grows more slowly than the
/// number of VMs.
static constexpr Duration LeaseListMaxAge = std::chrono::seconds(5);
static constexpr Duration LeaseListMaxAgePerVm = std::chrono::milliseconds(50);

/// Demand, in tokens per second, below which an idle customer's row is not
/// refreshed.
static constexpr double MinActiveDemand = 0.01;

static constexpr Duration GaugePeriod = std::chrono::seconds(1);

/// Timeout for the VM that borrows this VM's balances.
static constexpr Duration HandoverTimeout = std::chrono::milliseconds(500);

/// How long a first request may wait for the customer's row, and the interval
/// at which it checks for it.
static constexpr Duration FirstReadTimeout = std::chrono::milliseconds(500);
static constexpr Duration FirstReadPollPeriod = std::chrono::milliseconds(2);

static const std::string FloorsRow = "quota-floors";

void QuotaService::trackIdleCustomers(TimePoint Now) {
  const auto &Customers = State_->current()->Objects_.all<Customer>();
  if (std::ssize(Customers) > Settings_.Quota_.PrejoinCustomerLimit_)
    return;
  for (const auto &[Name, Owner] : Customers) {
    if (Customers_.contains(Name))
      continue;
    // The smallest demand that does not count as idle: this VM joins the row,
    // and its part follows the actual demand from then on.
    Limits Quota{Name, Owner.RateTokensPerSecond_, Owner.BurstTokens_};
    track(Quota, 1, Now);
  }
}

void QuotaService::tick(TimePoint Now) {
  Holder_.expire(Now);
  if (Now >= NextRenewal_ && !HandingOver_ && !std::exchange(Renewing_, true))
    spawn(Executor_, renew());
  // Renewals normally take effect well before half of the term has passed;
  // otherwise the platform cannot be reached.
  Duration PromiseThreshold =
      std::chrono::milliseconds(Settings_.Quota_.LeaseMs_ / 2);
  if (Holder_.leased(Now) && Holder_.leaseEnd() - Now < PromiseThreshold &&
      !HandingOver_ && !std::exchange(RequestingPromises_, true))
    spawn(Executor_, requestPromises());
  if (Now >= NextGauges_) {
    NextGauges_ = Now + GaugePeriod;
    publishGauges(Now);
  }
  if (Now < NextRefresh_ || HandingOver_ || !Holder_.leased(Now))
    return;
  trackIdleCustomers(Now);
  CustomerState *Oldest = nullptr;
  for (auto &[Name, State] : Customers_) {
    const QuotaShare *Share = Holder_.find(Name);
    bool IsUsed =
        demandOf(State, Now) > MinActiveDemand || (Share && Share->part() > 0);
    if (IsUsed && !State.Refreshing_ && Now - State.RefreshedAt_ >= MaxRowAge &&
        (!Oldest || State.RefreshedAt_ < Oldest->RefreshedAt_))
      Oldest = &State;
  }
  if (!Oldest)
    return;
  // Keeps the writes of all VMs together below the limit in the settings.
  auto Vms = static_cast<std::int64_t>(Members_->members().size() + 1);
  Duration PacedInterval =
      Duration(std::chrono::seconds(Vms)) / Settings_.Quota_.WritesPerSecond_;
  NextRefresh_ = Now + std::max(MinRefreshInterval, PacedInterval);
  spawn(Executor_, refresh(Oldest->Limits_));
}

asio::awaitable<void> QuotaService::renew() {
  if (!FloorsKnown_)
    co_await readFloors();
  TimePoint SentAt = BootClock::now();
  QuotaLeaseRequest Request = Holder_.nextRequest(SentAt);
  QuotaShareRenewal Message{static_cast<int>(Request.Action_),
                            Request.Vm_,
                            Request.DataCentre_,
                            Request.Id_,
                            Request.Replaces_,
                            Request.Counter_,
                            Request.OldLoansEnded_,
                            Request.SeenVersion_};
  QuotaShareRenewalReply Reply =
      co_await LeaseService_->send(std::move(Message));
  TimePoint Now = BootClock::now();
  NextRenewal_ = Now + RenewalRetryDelay;
  if (Reply.OutcomeKnown_) {
    QuotaLeaseReply Result{Reply.Accepted_, Reply.CurrentId_, Reply.Version_,
                           Reply.Peers_};
    Holder_.applyReply(Request, Result, SentAt, Now);
    if (Reply.Accepted_ && FloorsKnown_)
      NextRenewal_ = Now + std::chrono::milliseconds(Settings_.Quota_.LeaseMs_ /
                                                     RenewalsPerTerm);
  }
  Renewing_ = false;
}

asio::awaitable<void> QuotaService::requestPromises() {
  std::string Lease = Holder_.lease();
  TimePoint SentAt = BootClock::now();
  std::vector<std::string> Peers = Holder_.peers();
  bool AreGranted = co_await LeaseService_->requestPromises(std::move(Peers));
  if (AreGranted)
    Holder_.extendByPromises(Lease, SentAt, BootClock::now());
  else
    co_await pauseFor(RenewalRetryDelay);
  RequestingPromises_ = false;
}

asio::awaitable<void> QuotaService::readFloors() {
  std::vector<std::string> Keys{FloorsRow};
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows))
    co_return;
  const TableRow &Row = valueOf(Rows).front();
  auto Decoded = decodeQuotaFloors(Row.Value_);
  if (!isOk(Decoded))
    co_return;
  QuotaFloors &Floors = valueOf(Decoded);
  auto Own = Floors.ByVm_.find(Settings_.Vm_);
  if (Own != Floors.ByVm_.end()) {
    Reserve_ = Floors.Reserve_;
    Holder_.setFloor(Own->second);
    FloorsKnown_ = true;
    co_return;
  }
  // The first VM that writes the row sets the reserve for all VMs.
  if (Row.Version_ == 0)
    Floors.Reserve_ = static_cast<double>(Settings_.Quota_.FloorPercent_) / 100;
  double Desired =
      Floors.Reserve_ / static_cast<double>(Settings_.Quota_.FloorVms_);
  double Remaining = std::max(0.0, Floors.Reserve_ - Floors.total());
  Floors.ByVm_[Settings_.Vm_] = std::min(Desired, Remaining);
  TableTransaction Change;
  Change.Checks_.push_back({FloorsRow, Row.Version_});
  Change.Writes_.push_back({FloorsRow, encodeQuotaFloors(Floors)});
  auto Commit = co_await Platform_->commit(std::move(Change));
  // Otherwise the next read shows the state of the row.
  if (Commit.Result_ != CommitResult::Committed)
    co_return;
  Reserve_ = Floors.Reserve_;
  Holder_.setFloor(Floors.ByVm_[Settings_.Vm_]);
  FloorsKnown_ = true;
}

asio::awaitable<void> QuotaService::awaitFirstRead(Limits Quota) {
  TimePoint Until = BootClock::now() + FirstReadTimeout;
  while (BootClock::now() < Until) {
    const CustomerState &State = Customers_[Quota.Name_];
    if (State.RowRead_)
      co_return;
    if (!State.Refreshing_ && Holder_.leased(BootClock::now()))
      co_await refresh(Quota);
    else if (!Platform_->reachable())
      co_return;
    if (!Customers_[Quota.Name_].RowRead_)
      co_await pauseFor(FirstReadPollPeriod);
  }
}

asio::awaitable<void> QuotaService::refresh(Limits Quota) {
  CustomerState &State = Customers_[Quota.Name_];
  if (std::exchange(State.Refreshing_, true))
    co_return;
  co_await refreshRow(Quota);
  State.RefreshedAt_ = BootClock::now();
  State.Refreshing_ = false;
}

void QuotaService::updatePeerAllocations(CustomerState &State,
                                         const QuotaAllocations &Row) {
  std::map<std::string, PeerAllocation> PeerAllocations;
  for (const auto &[Lease, Held] : Row.ByLease_) {
    if (Held.Vm_ == Settings_.Vm_)
      continue;
    // No balance has been received from a new VM yet: assume that its part is
    // full.
    PeerAllocation Peer{Held.Part_, Held.Part_ * State.Limits_.Burst_,
                        BootClock::now()};
    auto Previous = State.PeerAllocations_.find(Held.Vm_);
    if (Previous != State.PeerAllocations_.end()) {
      Peer.Remaining_ = Previous->second.Remaining_;
      Peer.UpdatedAt_ = Previous->second.UpdatedAt_;
    }
    PeerAllocations[Held.Vm_] = Peer;
  }
  State.PeerAllocations_ = std::move(PeerAllocations);
}

asio::awaitable<Result<std::set<std::string>>>
QuotaService::liveLeasesFor(const QuotaAllocations &Row) {
  auto Vms = static_cast<std::int64_t>(Members_->members().size());
  Duration Age =
      std::max<Duration>(LeaseListMaxAge, LeaseListMaxAgePerVm * Vms);
  bool AreAllListed = std::ranges::all_of(Row.ByLease_, [&](const auto &Entry) {
    return LiveLeases_.contains(Entry.first);
  });
  TimePoint Now = BootClock::now();
  bool IsFresh = Now - LiveLeasesReadAt_ < Age && Now >= RereadLeasesUntil_;
  if (IsFresh && AreAllListed && LiveLeases_.contains(Holder_.lease()))
    co_return LiveLeases_;
  // This read starts after the read of the customer's row: a lease in that row
  // that is missing here has ended for good.
  std::set<std::string> DataCentres{Settings_.DataCentre_};
  for (const auto &[Lease, Held] : Row.ByLease_)
    DataCentres.insert(Held.DataCentre_);
  auto Live = co_await LeaseService_->readLiveLeases(std::move(DataCentres));
  if (isOk(Live)) {
    LiveLeases_ = valueOf(Live);
    LiveLeasesReadAt_ = BootClock::now();
  }
  co_return Live;
}

asio::awaitable<void> QuotaService::refreshRow(Limits Quota) {
  std::string Key = "quota/" + Quota.Name_;
  std::vector<std::string> Keys{Key};
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows) || !FloorsKnown_)
    co_return;
  TableRow Row = valueOf(Rows).front();
  auto Allocations = decodeQuotaAllocations(Row.Value_);
  if (!isOk(Allocations) || !isConsistent(valueOf(Allocations), Reserve_)) {
    logEvent(LogLevel::Error, "quota_row_unreadable", {{"row", Key}});
    co_return;
  }
  auto Live = co_await liveLeasesFor(valueOf(Allocations));
  if (!isOk(Live) || HandingOver_)
    co_return;
  TimePoint Now = BootClock::now();
  CustomerState &State = Customers_[Quota.Name_];
  shareOf(Quota, Now);
  Holder_.observeRow(Quota.Name_, valueOf(Allocations), Row.Version_, Now);
  updatePeerAllocations(State, valueOf(Allocations));
  auto Edit =
      Holder_.planEdit(Quota.Name_, valueOf(Allocations), Row.Version_,
                       valueOf(Live), demandOf(State, Now), Reserve_, Now);
  State.HasUnissued_ = valueOf(Allocations).UnissuedPart_ > 0;
  if (!Edit) {
    State.RowRead_ = Row.Version_ > 0;
    co_return;
  }
  TableTransaction Change;
  Change.Checks_.push_back({Key, Row.Version_});
  Change.Writes_.push_back({Key, encodeQuotaAllocations(Edit->Row_)});
  auto Commit = co_await Platform_->commit(std::move(Change));
  QuotaEditResult Result = QuotaEditResult::Unknown;
  if (Commit.Result_ == CommitResult::Committed)
    Result = QuotaEditResult::Committed;
  else if (Commit.Result_ == CommitResult::Conflict)
    Result = QuotaEditResult::Conflict;
  else if (Commit.Result_ == CommitResult::Unavailable)
    Result = QuotaEditResult::NotSent;
  Holder_.finishEdit(*Edit, Result, BootClock::now());
  Metrics_->count(
      "anvil_quota_row_writes_total",
      {{"end",
        std::string(Result == QuotaEditResult::Committed ? "done" : "other")}});
  if (Result == QuotaEditResult::Committed)
    State.HasUnissued_ = Edit->Row_.UnissuedPart_ > 0;
  if (Result == QuotaEditResult::Committed || Row.Version_ > 0)
    State.RowRead_ = true;
}

asio::awaitable<void> QuotaService::handOver() {
  HandingOver_ = true;
  TimePoint StartedAt = BootClock::now();
  QuotaHandover Message;
  for (const auto &[Name, State] : Customers_)
    if (QuotaShare *Share = Holder_.find(Name);
        Share && Share->balance(StartedAt) > 0)
      Message.Customers_.push_back(Name);
  for (const std::string &Vm : Members_->liveVmsIn(Settings_.DataCentre_)) {
    if (Vm == Settings_.Vm_ || Message.Customers_.empty())
      continue;
    auto Reply = co_await callPeer<QuotaHandoverReply>(*Network_, Vm, Message,
                                                       HandoverTimeout);
    if (isOk(Reply))
      break;
    if (BootClock::now() - StartedAt >= HandoverTimeout)
      break;
  }
  // No loans are granted from here on; the parts can be released once all loans
  // have ended.
  Stopped_ = true;
  co_await pauseFor(std::chrono::milliseconds(Settings_.Quota_.LoanMs_ +
                                              Settings_.Quota_.LoanMarginMs_));
  TimePoint Now = BootClock::now();
  if (!Holder_.leased(Now))
    co_return;
  QuotaLeaseRequest Request = Holder_.release(Now);
  QuotaShareRenewal Renewal{static_cast<int>(Request.Action_),
                            Request.Vm_,
                            Request.DataCentre_,
                            Request.Id_,
                            Request.Replaces_,
                            Request.Counter_,
                            Request.OldLoansEnded_,
                            Request.SeenVersion_};
  co_await LeaseService_->send(std::move(Renewal));
}

void QuotaService::publishGauges(TimePoint Now) {
  for (const auto &[Name, State] : Customers_) {
    QuotaShare *Share = Holder_.find(Name);
    if (!Share)
      continue;
    MetricLabels Labels{{"customer", Name}};
    Metrics_->gauge("anvil_quota_part", Labels, Share->part());
    Metrics_->gauge("anvil_quota_balance_tokens", Labels, Share->balance(Now));
    Metrics_->gauge("anvil_quota_lost_tokens", Labels, Share->lostTokens());
  }
}

nlohmann::json QuotaService::status() {
  using nlohmann::json;
  TimePoint Now = BootClock::now();
  json Customers = json::array();
  for (const auto &[Name, State] : Customers_) {
    QuotaShare &Share = shareOf(State.Limits_, Now);
    Customers.push_back({{"customer", Name},
                         {"part", Share.part()},
                         {"balance_tokens", Share.balance(Now)},
                         {"capacity_tokens", Share.capacity(Now)},
                         {"demand_tokens_per_second", demandOf(State, Now)},
                         {"lost_tokens", Share.lostTokens()}});
  }
  return {{"lease", Holder_.lease()},
          {"leased", Holder_.leased(Now)},
          {"customers", std::move(Customers)}};
}

} // namespace anvil
