#include "Admission/QuotaLeaseService.h"

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
static constexpr std::size_t WatchersPerRow = 2;
static constexpr std::size_t MaxRelays = 2;

/// Number of attempts for a write in case of conflicts.
static constexpr int MaxWriteAttempts = 5;

std::string quotaLeaseRow(const std::string &DataCentre) {
  return "quota-lease/" + DataCentre;
}

QuotaLeaseService::QuotaLeaseService(asio::any_io_executor Executor,
                                     const DaemonSettings &Settings,
                                     TimerService &Timers,
                                     std::shared_ptr<PlatformService> Platform,
                                     std::shared_ptr<PeerNetwork> Network,
                                     std::shared_ptr<MembershipService> Members)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Network_(std::move(Network)),
      Members_(std::move(Members)) {}

std::vector<std::string> QuotaLeaseService::dependencies() const {
  return {std::string(PlatformService::Name), std::string(PeerNetwork::Name),
          std::string(MembershipService::Name)};
}

Status QuotaLeaseService::start() {
  handlePeerRequests<QuotaShareRenewal>(
      *Network_,
      [this](std::string, QuotaShareRenewal Request)
          -> asio::awaitable<QuotaShareRenewalReply> {
        co_return co_await write(std::move(Request));
      });
  handlePeerRequests<QuotaPromise>(
      *Network_,
      [this](std::string From,
             QuotaPromise Request) -> asio::awaitable<QuotaPromiseReply> {
        auto Watch = Watches_.find(Request.DataCentre_);
        QuotaPromiseReply Reply;
        Reply.Granted_ = From == Request.Vm_ &&
                         (Watch == Watches_.end() ||
                          Watch->second.promise(From, BootClock::now()));
        co_return Reply;
      });
  WatchTimer_ = Timers_.every(WatchPeriod, BootClock::now(),
                              [this](TimePoint) { checkAllLeases(); });
  return std::monostate{};
}

void QuotaLeaseService::stop() { WatchTimer_.cancel(); }

std::vector<std::string>
QuotaLeaseService::writeRoute(const std::string &DataCentre) const {
  std::string Key = "quota-lease/" + DataCentre;
  auto Order = rendezvousOrder(Key, Members_->liveVmsIn(DataCentre));
  if (Order.size() > MaxRelays)
    Order.resize(MaxRelays);
  // After these come this VM itself and then a VM of another data centre.
  if (std::ranges::count(Order, Settings_.Vm_) == 0)
    Order.push_back(Settings_.Vm_);
  std::vector<std::string> Others;
  for (const auto &[Vm, Member] : Members_->members())
    if (Member.DataCentre_ != DataCentre)
      Others.push_back(Vm);
  Others = rendezvousOrder(Settings_.Vm_, std::move(Others));
  if (!Others.empty())
    Order.push_back(Others.front());
  return Order;
}

asio::awaitable<QuotaShareRenewalReply>
QuotaLeaseService::send(QuotaShareRenewal Renewal) {
  for (const std::string &Vm : writeRoute(Renewal.DataCentre_)) {
    QuotaShareRenewalReply Reply;
    if (Vm == Settings_.Vm_) {
      Reply = co_await write(Renewal);
    } else {
      auto Received = co_await callPeer<QuotaShareRenewalReply>(
          *Network_, Vm, Renewal, RenewalTimeout);
      if (isOk(Received))
        Reply = valueOf(Received);
    }
    if (Reply.OutcomeKnown_)
      co_return Reply;
  }
  co_return QuotaShareRenewalReply{};
}

asio::awaitable<QuotaShareRenewalReply>
QuotaLeaseService::write(QuotaShareRenewal Renewal) {
  std::string DataCentre = Renewal.DataCentre_;
  Batch &Current = Batches_[DataCentre];
  auto Entry = std::make_shared<PendingRequest>(Executor_, std::move(Renewal));
  Current.Pending_.push_back(Entry);
  if (!std::exchange(Current.IsWriting_, true))
    spawn(Executor_, flush(DataCentre));
  boost::system::error_code Ignored;
  Entry->Done_.expires_after(RenewalTimeout);
  if (!Entry->IsDone_)
    co_await Entry->Done_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  co_return Entry->Reply_;
}

asio::awaitable<void> QuotaLeaseService::flush(std::string DataCentre) {
  Batch &Current = Batches_[DataCentre];
  while (!Current.Pending_.empty()) {
    Duration Since = BootClock::now() - Current.WrittenAt_;
    if (Since < WritePeriod)
      co_await pauseFor(WritePeriod - Since);
    Current.WrittenAt_ = BootClock::now();
    std::vector<PendingRequestPtr> Requests = std::move(Current.Pending_);
    Current.Pending_.clear();
    co_await writeBatch(DataCentre, Requests);
    for (const PendingRequestPtr &Entry : Requests) {
      Entry->IsDone_ = true;
      Entry->Done_.cancel();
    }
  }
  Current.IsWriting_ = false;
}

asio::awaitable<void>
QuotaLeaseService::writeBatch(std::string DataCentre,
                              std::vector<PendingRequestPtr> Requests) {
  std::string Key = quotaLeaseRow(DataCentre);
  for (int Attempt = 0; Attempt < MaxWriteAttempts; ++Attempt) {
    std::vector<std::string> Keys{Key};
    auto Rows = co_await Platform_->read(std::move(Keys));
    if (!isOk(Rows))
      co_return;
    auto Leases = decodeQuotaLeases(valueOf(Rows).front().Value_);
    if (!isOk(Leases)) {
      logEvent(LogLevel::Error, "quota_row_unreadable", {{"row", Key}});
      co_return;
    }
    std::vector<QuotaLeaseReply> Replies;
    for (const PendingRequestPtr &Entry : Requests) {
      const QuotaShareRenewal &Request = Entry->Request_;
      QuotaLeaseRequest LeaseRequest{
          static_cast<QuotaLeaseAction>(Request.Action_),
          Request.Vm_,
          Request.DataCentre_,
          Request.Id_,
          Request.Replaces_,
          Request.Counter_,
          Request.OldLoansEnded_,
          Request.SeenVersion_};
      Replies.push_back(applyQuotaLeaseRequest(valueOf(Leases), LeaseRequest,
                                               valueOf(Rows).front().Version_));
    }
    TableTransaction Change;
    Change.Checks_.push_back({Key, valueOf(Rows).front().Version_});
    Change.Writes_.push_back({Key, encodeQuotaLeases(valueOf(Leases))});
    auto Commit = co_await Platform_->commit(std::move(Change));
    if (Commit.Result_ == CommitResult::Conflict)
      continue;
    // The result is unknown after a lost reply, so no reply is given: the VM
    // sends a new request.
    if (Commit.Result_ != CommitResult::Committed)
      co_return;
    auto Peers = liveQuotaVms(valueOf(Leases));
    for (std::size_t Index = 0; Index < Requests.size(); ++Index)
      Requests[Index]->Reply_ = {true, Replies[Index].Accepted_,
                                 Replies[Index].CurrentId_, Commit.Version_,
                                 Peers};
    co_return;
  }
}

asio::awaitable<Result<std::set<std::string>>>
QuotaLeaseService::readLiveLeases(std::set<std::string> DataCentres) {
  std::vector<std::string> Keys;
  for (const std::string &DataCentre : DataCentres)
    Keys.push_back(quotaLeaseRow(DataCentre));
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows))
    co_return errorOf(Rows);
  std::set<std::string> Live;
  for (const TableRow &Row : valueOf(Rows)) {
    auto Leases = decodeQuotaLeases(Row.Value_);
    if (!isOk(Leases))
      co_return errorOf(Leases);
    Live.merge(liveQuotaLeases(valueOf(Leases)));
  }
  co_return Live;
}

asio::awaitable<bool>
QuotaLeaseService::requestPromises(std::vector<std::string> Peers) {
  QuotaPromise Request{Settings_.Vm_, Settings_.DataCentre_};
  for (const std::string &Vm : Peers) {
    auto Reply = co_await callPeer<QuotaPromiseReply>(*Network_, Vm, Request,
                                                      PromiseTimeout);
    if (!isOk(Reply) || !valueOf(Reply).Granted_)
      co_return false;
  }
  co_return true;
}

void QuotaLeaseService::checkAllLeases() {
  std::set<std::string> DataCentres{Settings_.DataCentre_};
  std::vector<std::string> Vms{Settings_.Vm_};
  for (const auto &[Vm, Member] : Members_->members()) {
    DataCentres.insert(Member.DataCentre_);
    Vms.push_back(Vm);
  }
  for (const std::string &DataCentre : DataCentres) {
    // VMs of the data centre end leases after the term, others only after the
    // long term, in case the whole data centre is unavailable.
    bool IsOwn = DataCentre == Settings_.DataCentre_;
    auto Order = rendezvousOrder("quota-watch/" + DataCentre,
                                 IsOwn ? Members_->liveVmsIn(DataCentre) : Vms);
    Order.resize(std::min(Order.size(), WatchersPerRow));
    // A watch is kept after another VM has become the watcher, because its
    // writes may still be in transit.
    bool IsWatcher = std::ranges::count(Order, Settings_.Vm_) > 0;
    if (IsWatcher && Checking_.insert(DataCentre).second)
      spawn(Executor_, checkLeases(DataCentre));
  }
}

asio::awaitable<void> QuotaLeaseService::checkLeases(std::string DataCentre) {
  std::string Key = quotaLeaseRow(DataCentre);
  std::vector<std::string> Keys{Key};
  auto Rows = co_await Platform_->read(std::move(Keys));
  Checking_.erase(DataCentre);
  if (!isOk(Rows))
    co_return;
  auto Leases = decodeQuotaLeases(valueOf(Rows).front().Value_);
  if (!isOk(Leases))
    co_return;
  Duration Term = std::chrono::milliseconds(Settings_.Quota_.LeaseMs_);
  Duration LongTerm = std::chrono::milliseconds(Settings_.Quota_.PromiseMs_);
  Duration Margin = std::chrono::milliseconds(Settings_.Quota_.LeaseMarginMs_);
  auto [Found, IsNew] =
      Watches_.try_emplace(DataCentre, QuotaLeaseWatch(Term, LongTerm, Margin));
  auto Expired =
      Found->second.observe(valueOf(Leases), valueOf(Rows).front().Version_,
                            OwnLease_(), BootClock::now());
  if (Expired.empty())
    co_return;
  for (const std::string &Vm : Expired) {
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
