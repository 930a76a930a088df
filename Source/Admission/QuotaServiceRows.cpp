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
static constexpr Duration RenewalRetry = std::chrono::milliseconds(500);

/// The shortest interval between two refreshes of customers' rows.
static constexpr Duration ShortestRefresh = std::chrono::milliseconds(200);

/// Age at which a customer's row is read again.
static constexpr Duration RefreshAge = std::chrono::seconds(1);

/// Maximum age of the cached list of leases: a minimum, and an amount for every
/// VM of the system, so that the number of reads grows more slowly than the
/// number of VMs.
static constexpr Duration AliveAge = std::chrono::seconds(5);
static constexpr Duration AliveAgePerVm = std::chrono::milliseconds(50);

/// Demand, in tokens per second, below which an idle customer's row is not
/// refreshed.
static constexpr double IdleDemand = 0.01;

static constexpr Duration GaugePeriod = std::chrono::seconds(1);

/// Timeout for the VM that borrows this VM's balances.
static constexpr Duration HandoverTimeout = std::chrono::milliseconds(500);

/// How long a first request may wait for the customer's row, and the interval
/// at which it checks for it.
static constexpr Duration FirstReadWait = std::chrono::milliseconds(500);
static constexpr Duration FirstReadLook = std::chrono::milliseconds(2);

static const std::string FloorsRow = "quota-floors";

void QuotaService::trackUnseen(TimePoint Now) {
  const auto &Customers = State_->current()->Objects_.all<Customer>();
  if (std::ssize(Customers) > Settings_.Quota_.EagerCustomers_)
    return;
  for (const auto &[Name, Owner] : Customers) {
    if (Tracked_.contains(Name))
      continue;
    // The smallest demand that does not count as idle: this VM joins the row,
    // and its part follows the actual demand from then on.
    Limits Given{Name, Owner.RateTokensPerSecond_, Owner.BurstTokens_};
    track(Given, 1, Now);
  }
}

void QuotaService::tick(TimePoint Now) {
  Holder_.expire(Now);
  if (Now >= NextRenewal_ && !GivesAll_ && !std::exchange(Renewing_, true))
    spawn(Executor_, renew());
  // Renewals normally take effect well before half of the term has passed;
  // otherwise the platform cannot be reached.
  Duration Late = std::chrono::milliseconds(Settings_.Quota_.LeaseMs_ / 2);
  if (Holder_.leased(Now) && Holder_.leaseEnd() - Now < Late && !GivesAll_ &&
      !std::exchange(Promising_, true))
    spawn(Executor_, gatherPromises());
  if (Now >= NextGauges_) {
    NextGauges_ = Now + GaugePeriod;
    publishGauges(Now);
  }
  if (Now < NextRefresh_ || GivesAll_ || !Holder_.leased(Now))
    return;
  trackUnseen(Now);
  Tracked *Oldest = nullptr;
  for (auto &[Name, Known] : Tracked_) {
    const QuotaShare *Share = Holder_.find(Name);
    bool IsUsed =
        demandOf(Known, Now) > IdleDemand || (Share && Share->part() > 0);
    if (IsUsed && !Known.Refreshing_ && Now - Known.Refreshed_ >= RefreshAge &&
        (!Oldest || Known.Refreshed_ < Oldest->Refreshed_))
      Oldest = &Known;
  }
  if (!Oldest)
    return;
  // Keeps the writes of all VMs together below the limit in the settings.
  auto Vms = static_cast<std::int64_t>(Members_->members().size() + 1);
  Duration Paced =
      Duration(std::chrono::seconds(Vms)) / Settings_.Quota_.WritesPerSecond_;
  NextRefresh_ = Now + std::max(ShortestRefresh, Paced);
  spawn(Executor_, refresh(Oldest->Limits_));
}

asio::awaitable<void> QuotaService::renew() {
  if (!FloorsKnown_)
    co_await readFloors();
  TimePoint Asked = BootClock::now();
  QuotaRenewal Renewal = Holder_.renewal(Asked);
  QuotaShareRenewal Message{static_cast<int>(Renewal.Wish_),
                            Renewal.Vm_,
                            Renewal.DataCentre_,
                            Renewal.Id_,
                            Renewal.Replaces_,
                            Renewal.Counter_,
                            Renewal.OldLoansEnded_,
                            Renewal.Seen_};
  QuotaShareReply Reply = co_await Keeper_->send(std::move(Message));
  TimePoint Now = BootClock::now();
  NextRenewal_ = Now + RenewalRetry;
  if (Reply.Known_) {
    QuotaRenewalReply Given{Reply.Accepted_, Reply.CurrentId_, Reply.Version_,
                            Reply.Mates_};
    Holder_.renewed(Renewal, Given, Asked, Now);
    if (Reply.Accepted_ && FloorsKnown_)
      NextRenewal_ = Now + std::chrono::milliseconds(Settings_.Quota_.LeaseMs_ /
                                                     RenewalsPerTerm);
  }
  Renewing_ = false;
}

asio::awaitable<void> QuotaService::gatherPromises() {
  std::string Lease = Holder_.lease();
  TimePoint Asked = BootClock::now();
  std::vector<std::string> Mates = Holder_.mates();
  bool AreGiven = co_await Keeper_->askPromises(std::move(Mates));
  if (AreGiven)
    Holder_.promised(Lease, Asked, BootClock::now());
  else
    co_await pauseFor(RenewalRetry);
  Promising_ = false;
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
  auto Mine = Floors.ByVm_.find(Settings_.Vm_);
  if (Mine != Floors.ByVm_.end()) {
    Reserve_ = Floors.Reserve_;
    Holder_.setFloor(Mine->second);
    FloorsKnown_ = true;
    co_return;
  }
  // The first VM that writes the row sets the reserve for all VMs.
  if (Row.Version_ == 0)
    Floors.Reserve_ = static_cast<double>(Settings_.Quota_.FloorPercent_) / 100;
  double Wanted =
      Floors.Reserve_ / static_cast<double>(Settings_.Quota_.FloorVms_);
  double Left = std::max(0.0, Floors.Reserve_ - Floors.total());
  Floors.ByVm_[Settings_.Vm_] = std::min(Wanted, Left);
  TableTransaction Change;
  Change.Checks_.push_back({FloorsRow, Row.Version_});
  Change.Writes_.push_back({FloorsRow, encodeQuotaFloors(Floors)});
  auto Ended = co_await Platform_->commit(std::move(Change));
  // Otherwise the next read shows the state of the row.
  if (Ended.Result_ != CommitResult::Committed)
    co_return;
  Reserve_ = Floors.Reserve_;
  Holder_.setFloor(Floors.ByVm_[Settings_.Vm_]);
  FloorsKnown_ = true;
}

asio::awaitable<void> QuotaService::firstRead(Limits Given) {
  TimePoint Until = BootClock::now() + FirstReadWait;
  while (BootClock::now() < Until) {
    const Tracked &Known = Tracked_[Given.Name_];
    if (Known.Known_)
      co_return;
    if (!Known.Refreshing_ && Holder_.leased(BootClock::now()))
      co_await refresh(Given);
    else if (!Platform_->reachable())
      co_return;
    if (!Tracked_[Given.Name_].Known_)
      co_await pauseFor(FirstReadLook);
  }
}

asio::awaitable<void> QuotaService::refresh(Limits Given) {
  Tracked &Known = Tracked_[Given.Name_];
  if (std::exchange(Known.Refreshing_, true))
    co_return;
  co_await refreshRow(Given);
  Known.Refreshed_ = BootClock::now();
  Known.Refreshing_ = false;
}

void QuotaService::adoptHolders(Tracked &Known, const QuotaHoldings &Row) {
  std::map<std::string, OtherHolder> Holders;
  for (const auto &[Lease, Held] : Row.ByLease_) {
    if (Held.Vm_ == Settings_.Vm_)
      continue;
    // No balance has been received from a new VM yet: assume that its part is
    // full.
    OtherHolder Other{Held.Part_, Held.Part_ * Known.Limits_.Burst_,
                      BootClock::now()};
    auto Before = Known.Holders_.find(Held.Vm_);
    if (Before != Known.Holders_.end()) {
      Other.Left_ = Before->second.Left_;
      Other.At_ = Before->second.At_;
    }
    Holders[Held.Vm_] = Other;
  }
  Known.Holders_ = std::move(Holders);
}

asio::awaitable<Result<std::set<std::string>>>
QuotaService::aliveFor(const QuotaHoldings &Row) {
  auto Vms = static_cast<std::int64_t>(Members_->members().size());
  Duration Age = std::max<Duration>(AliveAge, AliveAgePerVm * Vms);
  bool AreAllKnown = std::ranges::all_of(Row.ByLease_, [&](const auto &Entry) {
    return Alive_.contains(Entry.first);
  });
  TimePoint Now = BootClock::now();
  bool IsFresh = Now - AliveAt_ < Age && Now >= AliveFrom_;
  if (IsFresh && AreAllKnown && Alive_.contains(Holder_.lease()))
    co_return Alive_;
  // This read starts after the read of the customer's row: a lease in that row
  // that is missing here has ended for good.
  std::set<std::string> DataCentres{Settings_.DataCentre_};
  for (const auto &[Lease, Held] : Row.ByLease_)
    DataCentres.insert(Held.DataCentre_);
  auto Alive = co_await Keeper_->readAlive(std::move(DataCentres));
  if (isOk(Alive)) {
    Alive_ = valueOf(Alive);
    AliveAt_ = BootClock::now();
  }
  co_return Alive;
}

asio::awaitable<void> QuotaService::refreshRow(Limits Given) {
  std::string Key = "quota/" + Given.Name_;
  std::vector<std::string> Keys{Key};
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows) || !FloorsKnown_)
    co_return;
  TableRow Row = valueOf(Rows).front();
  auto Holdings = decodeQuotaHoldings(Row.Value_);
  if (!isOk(Holdings)) {
    logEvent(LogLevel::Error, "quota_row_unreadable", {{"row", Key}});
    co_return;
  }
  auto Alive = co_await aliveFor(valueOf(Holdings));
  if (!isOk(Alive) || GivesAll_)
    co_return;
  TimePoint Now = BootClock::now();
  Tracked &Known = Tracked_[Given.Name_];
  shareOf(Given, Now);
  Holder_.observed(Given.Name_, valueOf(Holdings), Row.Version_, Now);
  adoptHolders(Known, valueOf(Holdings));
  auto Edit = Holder_.plan(Given.Name_, valueOf(Holdings), Row.Version_,
                           valueOf(Alive), demandOf(Known, Now), Reserve_, Now);
  Known.IsFresh_ = valueOf(Holdings).Fresh_ > 0;
  if (!Edit) {
    Known.Known_ = Row.Version_ > 0;
    co_return;
  }
  TableTransaction Change;
  Change.Checks_.push_back({Key, Row.Version_});
  Change.Writes_.push_back({Key, encodeQuotaHoldings(Edit->Row_)});
  auto Ended = co_await Platform_->commit(std::move(Change));
  QuotaEditEnd End = QuotaEditEnd::Unknown;
  if (Ended.Result_ == CommitResult::Committed)
    End = QuotaEditEnd::Done;
  else if (Ended.Result_ == CommitResult::Conflict)
    End = QuotaEditEnd::Conflict;
  else if (Ended.Result_ == CommitResult::Unavailable)
    End = QuotaEditEnd::NotSent;
  Holder_.settled(*Edit, End, BootClock::now());
  Metrics_->count(
      "anvil_quota_row_writes_total",
      {{"end", std::string(End == QuotaEditEnd::Done ? "done" : "other")}});
  if (End == QuotaEditEnd::Done)
    Known.IsFresh_ = Edit->Row_.Fresh_ > 0;
  if (End == QuotaEditEnd::Done || Row.Version_ > 0)
    Known.Known_ = true;
}

asio::awaitable<void> QuotaService::handOver() {
  GivesAll_ = true;
  TimePoint Begun = BootClock::now();
  QuotaHandover Message;
  for (const auto &[Name, Known] : Tracked_)
    if (QuotaShare *Share = Holder_.find(Name);
        Share && Share->balance(Begun) > 0)
      Message.Customers_.push_back(Name);
  for (const std::string &Vm : Members_->liveIn(Settings_.DataCentre_)) {
    if (Vm == Settings_.Vm_ || Message.Customers_.empty())
      continue;
    auto Taken = co_await callPeer<QuotaHandoverReply>(*Network_, Vm, Message,
                                                       HandoverTimeout);
    if (isOk(Taken))
      break;
    if (BootClock::now() - Begun >= HandoverTimeout)
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
  QuotaRenewal Renewal = Holder_.release(Now);
  QuotaShareRenewal Asked{static_cast<int>(Renewal.Wish_),
                          Renewal.Vm_,
                          Renewal.DataCentre_,
                          Renewal.Id_,
                          Renewal.Replaces_,
                          Renewal.Counter_,
                          Renewal.OldLoansEnded_,
                          Renewal.Seen_};
  co_await Keeper_->send(std::move(Asked));
}

void QuotaService::publishGauges(TimePoint Now) {
  for (const auto &[Name, Known] : Tracked_) {
    QuotaShare *Share = Holder_.find(Name);
    if (!Share)
      continue;
    MetricLabels Labels{{"customer", Name}};
    Metrics_->gauge("anvil_quota_part", Labels, Share->part());
    Metrics_->gauge("anvil_quota_balance_tokens", Labels, Share->balance(Now));
    Metrics_->gauge("anvil_quota_lost_tokens", Labels, Share->lost());
  }
}

nlohmann::json QuotaService::status() {
  using nlohmann::json;
  TimePoint Now = BootClock::now();
  json Customers = json::array();
  for (const auto &[Name, Known] : Tracked_) {
    QuotaShare &Share = shareOf(Known.Limits_, Now);
    Customers.push_back({{"customer", Name},
                         {"part", Share.part()},
                         {"balance_tokens", Share.balance(Now)},
                         {"capacity_tokens", Share.capacity(Now)},
                         {"demand_tokens_per_second", demandOf(Known, Now)},
                         {"lost_tokens", Share.lost()}});
  }
  return {{"lease", Holder_.lease()},
          {"leased", Holder_.leased(Now)},
          {"customers", std::move(Customers)}};
}

} // namespace anvil
