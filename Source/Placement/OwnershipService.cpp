#include "Placement/OwnershipService.h"

#include "Http/Spawn.h"
#include "Membership/Rendezvous.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;

/// Renewals in one term.
static constexpr int RenewalsPerTerm = 3;

/// How long renewals are collected for one write.
static constexpr Duration BatchTime = std::chrono::milliseconds(400);

/// How long the VM that writes may take to answer.
static constexpr Duration WriterTimeout = std::chrono::milliseconds(1500);

/// How often a write is tried against other writers.
static constexpr int MostWrites = 4;

static LeaseTerms termsOf(const DaemonSettings &Settings) {
  LeaseTerms Terms;
  Terms.Term_ = std::chrono::milliseconds(Settings.Placement_.LeaseTermMs_);
  Terms.Margin_ = std::chrono::milliseconds(Settings.Placement_.LeaseMarginMs_);
  Terms.LongestOrder_ =
      std::chrono::milliseconds(Settings.Targets_.LoadTimeoutMs_);
  return Terms;
}

OwnershipService::Batch::Batch(const asio::any_io_executor &Executor)
    : Done_(Executor, asio::steady_timer::time_point::max()) {}

OwnershipService::OwnershipService(asio::any_io_executor Executor,
                                   const DaemonSettings &Settings,
                                   TimerService &Timers,
                                   std::string Incarnation,
                                   std::shared_ptr<PlatformService> Platform,
                                   std::shared_ptr<MembershipService> Members,
                                   std::shared_ptr<PeerNetwork> Network,
                                   std::shared_ptr<Metrics> Counts)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Members_(std::move(Members)),
      Network_(std::move(Network)), Counts_(std::move(Counts)),
      Incarnation_(std::move(Incarnation)),
      Lease_(termsOf(Settings), Settings.Vm_, Incarnation_) {}

std::vector<std::string> OwnershipService::dependencies() const {
  return {std::string(MembershipService::Name)};
}

Status OwnershipService::start() {
  auto Renew = [this](LeaseRenewalMessage Given) {
    LeaseClaim Claim{std::move(Given.Vm_), std::move(Given.Incarnation_),
                     Given.Number_, Given.Adopted_};
    return writeWithOthers(std::move(Claim));
  };
  answerPeers<LeaseRenewalMessage>(
      *Network_, [Renew](std::string, LeaseRenewalMessage Given) {
        return Renew(std::move(Given));
      });
  listenToPeers<OwnershipHandoverMessage>(
      *Network_,
      [this](const std::string &From, const OwnershipHandoverMessage &Given) {
        Lease_.yielded(From, Given.Incarnation_, Given.Targets_,
                       Given.Generation_);
        adopt(Given.Row_, Given.Version_);
      });
  Duration Period =
      std::chrono::milliseconds(Settings_.Placement_.LeaseTermMs_) /
      RenewalsPerTerm;
  auto Run = [this](TimePoint) { spawn(Executor_, renew()); };
  Period_ = Timers_.every(Period, BootClock::now(), Run);
  Run({});
  return std::monostate{};
}

std::string OwnershipService::writer() const {
  auto Order =
      rendezvousOrder(rowKey(), Members_->liveIn(Settings_.DataCentre_));
  return Order.empty() ? Settings_.Vm_ : Order.front();
}

void OwnershipService::adopt(const std::string &Text, std::uint64_t Version) {
  auto Row = Version == 0 ? LeaseRow{} : decodeLeaseRow(Text);
  if (!Row) {
    logEvent(LogLevel::Error, "lease_row_unreadable", {{"row", rowKey()}});
    return;
  }
  std::uint64_t Before = Lease_.fencing();
  Lease_.adopt(*Row, Version, BootClock::now());
  Version_ = std::max(Version_, Version);
  if (Lease_.fencing() != Before)
    logEvent(LogLevel::Info, "owners_changed",
             {{"generation", Lease_.fencing()},
              {"holders", Lease_.row().Holders_.size()}});
  Changed_.fire();
}

asio::awaitable<void> OwnershipService::renew() {
  if (GivenUp_ || std::exchange(Renewing_, true))
    co_return;
  bool MayJoin = HasRead_ && Lease_.mayJoin(BootClock::now());
  if (!MayJoin) {
    bool WasRead = co_await readBack();
    HasRead_ |= WasRead;
    MayJoin = HasRead_ && Lease_.mayJoin(BootClock::now());
  }
  if (!MayJoin) {
    Renewing_ = false;
    co_return;
  }
  LeaseClaim Claim = Lease_.claim(BootClock::now());
  std::string Writer = writer();
  bool IsDone = false;
  if (Writer == Settings_.Vm_) {
    co_await writeWithOthers(Claim);
    IsDone = true;
  } else {
    LeaseRenewalMessage Ask{Claim.Vm_, Claim.Incarnation_, Claim.Number_,
                            Claim.Adopted_};
    auto Reply = co_await callPeer<LeaseRowMessage>(
        *Network_, Writer, std::move(Ask), WriterTimeout);
    if (isOk(Reply) && valueOf(Reply).Version_ > 0) {
      adopt(valueOf(Reply).Row_, valueOf(Reply).Version_);
      IsDone = true;
    }
  }
  if (!IsDone) {
    std::vector<LeaseClaim> Own{Claim};
    co_await write(std::move(Own));
  }
  Renewing_ = false;
}

asio::awaitable<LeaseRowMessage>
OwnershipService::writeWithOthers(LeaseClaim Claim) {
  Claims_.push_back(std::move(Claim));
  boost::system::error_code Ignored;
  LeaseRowMessage Reply;
  auto Shared = Batch_;
  if (Shared) {
    co_await Shared->Done_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  } else {
    // A VM without a lease waits for nobody.
    asio::steady_timer Collect(Executor_,
                               Lease_.leaseEnd() ? BatchTime : Duration{0});
    Shared = std::make_shared<Batch>(Executor_);
    Batch_ = Shared;
    co_await Collect.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
    Batch_.reset();
    Shared->Written_ = co_await write(std::exchange(Claims_, {}));
    Shared->Done_.cancel();
  }
  Reply.Row_ = encodeLeaseRow(Lease_.row());
  Reply.Version_ = Shared->Written_ ? Version_ : 0;
  co_return Reply;
}

asio::awaitable<bool> OwnershipService::readBack() {
  std::vector<std::string> Keys{rowKey()};
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows) || valueOf(Rows).empty())
    co_return false;
  adopt(valueOf(Rows).front().Value_, valueOf(Rows).front().Version_);
  co_return true;
}

asio::awaitable<bool> OwnershipService::write(std::vector<LeaseClaim> Claims) {
  for (int Try = 0; Try < MostWrites && !GivenUp_; ++Try) {
    LeaseRow Next = Lease_.renewed(Lease_.row(), Claims, BootClock::now());
    TableTransaction Change;
    Change.Checks_.push_back({rowKey(), Version_});
    Change.Writes_.push_back({rowKey(), encodeLeaseRow(Next)});
    CommitOutcome Ended = co_await Platform_->commit(std::move(Change));
    Counts_->count("anvil_lease_writes_total");
    if (Ended.Result_ == CommitResult::Committed) {
      bool HolderChanged = Next.Generation_ != Lease_.fencing();
      OwnershipHandoverMessage Notice;
      Notice.Row_ = encodeLeaseRow(Next);
      Notice.Version_ = Ended.Version_;
      adopt(Notice.Row_, Notice.Version_);
      // Those who lose or gain targets need not wait for their next renewal.
      if (HolderChanged)
        tellHolders(Notice);
      co_return true;
    }
    if (Ended.Result_ == CommitResult::Unavailable)
      co_return false;
    // The numbers of the claims in the row say whether the write took effect.
    if (!co_await readBack())
      co_return false;
    bool AllThere = true;
    for (const LeaseClaim &Claim : Claims) {
      const LeaseHolder *Known = Lease_.row().find(Claim.Vm_);
      AllThere &= Known && Known->Incarnation_ == Claim.Incarnation_ &&
                  Known->Claim_ >= Claim.Number_;
    }
    if (AllThere)
      co_return true;
  }
  co_return false;
}

void OwnershipService::tellHolders(const OwnershipHandoverMessage &Notice) {
  for (const std::string &Vm : Members_->liveIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_)
      notifyPeer(*Network_, Vm, Notice);
}

void OwnershipService::yield(std::vector<std::string> Targets) {
  OwnershipHandoverMessage Notice{encodeLeaseRow(Lease_.row()), Version_,
                                  Lease_.fencing(), Incarnation_,
                                  std::move(Targets)};
  tellHolders(Notice);
}

asio::awaitable<void> OwnershipService::giveUp(std::vector<std::string> Idle) {
  GivenUp_ = true;
  Lease_.stop();
  Changed_.fire();
  for (int Try = 0; Try < MostWrites; ++Try) {
    LeaseRow Next = Lease_.withoutSelf(Lease_.row());
    std::string Text = encodeLeaseRow(Next);
    TableTransaction Change;
    Change.Checks_.push_back({rowKey(), Version_});
    Change.Writes_.push_back({rowKey(), Text});
    CommitOutcome Ended = co_await Platform_->commit(std::move(Change));
    if (Ended.Result_ == CommitResult::Committed) {
      OwnershipHandoverMessage Notice{Text, Ended.Version_, Next.Generation_,
                                      Incarnation_, std::move(Idle)};
      tellHolders(Notice);
      adopt(Text, Ended.Version_);
      co_return;
    }
    // Without the platform the lease lapses by itself.
    if (Ended.Result_ == CommitResult::Unavailable || !co_await readBack())
      co_return;
  }
}

} // namespace anvil
