#include "Admission/QuotaKeeper.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Membership/Rendezvous.h"
#include "Peer/PeerMessage.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The shortest interval between two writes of one row by one VM.
static constexpr Duration WritePeriod = std::chrono::milliseconds(500);

/// Timeout for a VM that writes a lease request on behalf of another.
static constexpr Duration RenewalTimeout = std::chrono::milliseconds(2500);

/// Timeout for a promise request to one VM.
static constexpr Duration PromiseTimeout = std::chrono::milliseconds(300);

/// How often a row is checked for leases that are not renewed.
static constexpr Duration WatchPeriod = std::chrono::seconds(2);

/// Number of VMs that watch each row, and number of VMs through which a request
/// is sent before the VM writes the row itself.
static constexpr std::size_t Watchers = 2;
static constexpr std::size_t Relays = 2;

/// Number of attempts for a write in case of conflicts.
static constexpr int WriteTries = 5;

std::string quotaLeaseRow(const std::string &DataCentre) {
  return "quota-lease/" + DataCentre;
}

QuotaKeeper::QuotaKeeper(asio::any_io_executor Executor,
                         const DaemonSettings &Settings, TimerService &Timers,
                         std::shared_ptr<PlatformService> Platform,
                         std::shared_ptr<PeerNetwork> Network,
                         std::shared_ptr<MembershipService> Members)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Network_(std::move(Network)),
      Members_(std::move(Members)) {}

std::vector<std::string> QuotaKeeper::dependencies() const {
  return {std::string(PlatformService::Name), std::string(PeerNetwork::Name),
          std::string(MembershipService::Name)};
}

Status QuotaKeeper::start() {
  answerPeers<QuotaShareRenewal>(*Network_,
                                 [this](std::string, QuotaShareRenewal Asked)
                                     -> asio::awaitable<QuotaShareReply> {
                                   co_return co_await write(std::move(Asked));
                                 });
  answerPeers<QuotaPromise>(
      *Network_,
      [this](std::string From,
             QuotaPromise Asked) -> asio::awaitable<QuotaPromiseReply> {
        auto Watch = Watches_.find(Asked.DataCentre_);
        QuotaPromiseReply Reply;
        Reply.Given_ = From == Asked.Vm_ &&
                       (Watch == Watches_.end() ||
                        Watch->second.promise(From, BootClock::now()));
        co_return Reply;
      });
  WatchTimer_ = Timers_.every(WatchPeriod, BootClock::now(),
                              [this](TimePoint) { watchAll(); });
  return std::monostate{};
}

void QuotaKeeper::stop() { WatchTimer_.cancel(); }

std::vector<std::string>
QuotaKeeper::route(const std::string &DataCentre) const {
  std::string Key = "quota-lease/" + DataCentre;
  auto Order = rendezvousOrder(Key, Members_->liveIn(DataCentre));
  if (Order.size() > Relays)
    Order.resize(Relays);
  // After these come this VM itself and then a VM of another data centre.
  if (std::ranges::count(Order, Settings_.Vm_) == 0)
    Order.push_back(Settings_.Vm_);
  std::vector<std::string> Others;
  for (const auto &[Vm, Known] : Members_->members())
    if (Known.DataCentre_ != DataCentre)
      Others.push_back(Vm);
  Others = rendezvousOrder(Settings_.Vm_, std::move(Others));
  if (!Others.empty())
    Order.push_back(Others.front());
  return Order;
}

asio::awaitable<QuotaShareReply> QuotaKeeper::send(QuotaShareRenewal Renewal) {
  for (const std::string &Vm : route(Renewal.DataCentre_)) {
    QuotaShareReply Reply;
    if (Vm == Settings_.Vm_) {
      Reply = co_await write(Renewal);
    } else {
      auto Answer = co_await callPeer<QuotaShareReply>(*Network_, Vm, Renewal,
                                                       RenewalTimeout);
      if (isOk(Answer))
        Reply = valueOf(Answer);
    }
    if (Reply.Known_)
      co_return Reply;
  }
  co_return QuotaShareReply{};
}

asio::awaitable<QuotaShareReply> QuotaKeeper::write(QuotaShareRenewal Renewal) {
  std::string DataCentre = Renewal.DataCentre_;
  Batch &Row = Batches_[DataCentre];
  auto Entry = std::make_shared<Waiting>(Executor_, std::move(Renewal));
  Row.Waiting_.push_back(Entry);
  if (!std::exchange(Row.Runs_, true))
    spawn(Executor_, flush(DataCentre));
  boost::system::error_code Ignored;
  Entry->Done_.expires_after(RenewalTimeout);
  if (!Entry->IsDone_)
    co_await Entry->Done_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  co_return Entry->Reply_;
}

asio::awaitable<void> QuotaKeeper::flush(std::string DataCentre) {
  Batch &Row = Batches_[DataCentre];
  while (!Row.Waiting_.empty()) {
    Duration Since = BootClock::now() - Row.Written_;
    if (Since < WritePeriod)
      co_await pauseFor(WritePeriod - Since);
    Row.Written_ = BootClock::now();
    std::vector<WaitingPtr> Group = std::move(Row.Waiting_);
    Row.Waiting_.clear();
    co_await writeBatch(DataCentre, Group);
    for (const WaitingPtr &Entry : Group) {
      Entry->IsDone_ = true;
      Entry->Done_.cancel();
    }
  }
  Row.Runs_ = false;
}

asio::awaitable<void> QuotaKeeper::writeBatch(std::string DataCentre,
                                              std::vector<WaitingPtr> Group) {
  std::string Key = quotaLeaseRow(DataCentre);
  for (int Try = 0; Try < WriteTries; ++Try) {
    std::vector<std::string> Keys{Key};
    auto Rows = co_await Platform_->read(std::move(Keys));
    if (!isOk(Rows))
      co_return;
    auto Leases = decodeQuotaLeases(valueOf(Rows).front().Value_);
    if (!isOk(Leases)) {
      logEvent(LogLevel::Error, "quota_row_unreadable", {{"row", Key}});
      co_return;
    }
    std::vector<QuotaRenewalReply> Replies;
    for (const WaitingPtr &Entry : Group) {
      const QuotaShareRenewal &Asked = Entry->Asked_;
      QuotaRenewal Renewal{static_cast<QuotaLeaseWish>(Asked.Wish_),
                           Asked.Vm_,
                           Asked.DataCentre_,
                           Asked.Id_,
                           Asked.Replaces_,
                           Asked.Counter_,
                           Asked.OldLoansEnded_,
                           Asked.Seen_};
      Replies.push_back(applyQuotaRenewal(valueOf(Leases), Renewal,
                                          valueOf(Rows).front().Version_));
    }
    TableTransaction Change;
    Change.Checks_.push_back({Key, valueOf(Rows).front().Version_});
    Change.Writes_.push_back({Key, encodeQuotaLeases(valueOf(Leases))});
    auto Ended = co_await Platform_->commit(std::move(Change));
    if (Ended.Result_ == CommitResult::Conflict)
      continue;
    // The result is unknown after a lost reply, so no reply is given: the VM
    // sends a new request.
    if (Ended.Result_ != CommitResult::Committed)
      co_return;
    auto Mates = liveQuotaVms(valueOf(Leases));
    for (std::size_t Index = 0; Index < Group.size(); ++Index)
      Group[Index]->Reply_ = {true, Replies[Index].Accepted_,
                              Replies[Index].CurrentId_, Ended.Version_, Mates};
    co_return;
  }
}

asio::awaitable<Result<std::set<std::string>>>
QuotaKeeper::readAlive(std::set<std::string> DataCentres) {
  std::vector<std::string> Keys;
  for (const std::string &DataCentre : DataCentres)
    Keys.push_back(quotaLeaseRow(DataCentre));
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows))
    co_return errorOf(Rows);
  std::set<std::string> Alive;
  for (const TableRow &Row : valueOf(Rows)) {
    auto Leases = decodeQuotaLeases(Row.Value_);
    if (!isOk(Leases))
      co_return errorOf(Leases);
    Alive.merge(liveQuotaLeases(valueOf(Leases)));
  }
  co_return Alive;
}

asio::awaitable<bool> QuotaKeeper::askPromises(std::vector<std::string> Mates) {
  QuotaPromise Asked{Settings_.Vm_, Settings_.DataCentre_};
  for (const std::string &Vm : Mates) {
    auto Reply = co_await callPeer<QuotaPromiseReply>(*Network_, Vm, Asked,
                                                      PromiseTimeout);
    if (!isOk(Reply) || !valueOf(Reply).Given_)
      co_return false;
  }
  co_return true;
}

void QuotaKeeper::watchAll() {
  std::set<std::string> DataCentres{Settings_.DataCentre_};
  std::vector<std::string> Vms{Settings_.Vm_};
  for (const auto &[Vm, Known] : Members_->members()) {
    DataCentres.insert(Known.DataCentre_);
    Vms.push_back(Vm);
  }
  for (const std::string &DataCentre : DataCentres) {
    // VMs of the data centre end leases after the term, others only after the
    // long term, in case the whole data centre is unavailable.
    bool IsOwn = DataCentre == Settings_.DataCentre_;
    auto Order = rendezvousOrder("quota-watch/" + DataCentre,
                                 IsOwn ? Members_->liveIn(DataCentre) : Vms);
    Order.resize(std::min(Order.size(), Watchers));
    // A watch is kept after another VM has become the watcher, because its
    // writes may still be in transit.
    bool IsTurn = std::ranges::count(Order, Settings_.Vm_) > 0;
    if (IsTurn && Watching_.insert(DataCentre).second)
      spawn(Executor_, watch(DataCentre));
  }
}

asio::awaitable<void> QuotaKeeper::watch(std::string DataCentre) {
  std::string Key = quotaLeaseRow(DataCentre);
  std::vector<std::string> Keys{Key};
  auto Rows = co_await Platform_->read(std::move(Keys));
  Watching_.erase(DataCentre);
  if (!isOk(Rows))
    co_return;
  auto Leases = decodeQuotaLeases(valueOf(Rows).front().Value_);
  if (!isOk(Leases))
    co_return;
  Duration Term = std::chrono::milliseconds(Settings_.Quota_.LeaseMs_);
  Duration LongTerm = std::chrono::milliseconds(Settings_.Quota_.PromiseMs_);
  Duration Margin = std::chrono::milliseconds(Settings_.Quota_.LeaseMarginMs_);
  auto [Seen, IsNew] =
      Watches_.try_emplace(DataCentre, QuotaLeaseWatch(Term, LongTerm, Margin));
  auto Over = Seen->second.see(valueOf(Leases), valueOf(Rows).front().Version_,
                               OwnLease_(), BootClock::now());
  if (Over.empty())
    co_return;
  for (const std::string &Vm : Over) {
    valueOf(Leases)[Vm].Ended_ = true;
    logEvent(LogLevel::Info, "quota_lease_ended", {{"vm", Vm}});
  }
  TableTransaction Change;
  Change.Checks_.push_back({Key, valueOf(Rows).front().Version_});
  Change.Writes_.push_back({Key, encodeQuotaLeases(valueOf(Leases))});
  // The result is not needed: the next check of the row shows which leases are
  // still to be ended.
  co_await Platform_->commit(std::move(Change));
}

} // namespace anvil
