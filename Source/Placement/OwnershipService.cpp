#include "Placement/OwnershipService.h"

#include "Http/Spawn.h"
#include "Membership/Rendezvous.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;

/// The number of renewals in one lease term.
static constexpr int RenewalsPerTerm = 3;

/// How long renewals are collected for one write.
static constexpr Duration BatchWindow = std::chrono::milliseconds(400);

/// How long the writing VM may take to reply.
static constexpr Duration WriterTimeout = std::chrono::milliseconds(1500);

/// The number of attempts when other writers change the row.
static constexpr int MaxWriteAttempts = 4;

static LeaseTerms termsOf(const DaemonSettings &Settings) {
  LeaseTerms Terms;
  Terms.Term_ = std::chrono::milliseconds(Settings.Placement_.LeaseTermMs_);
  Terms.Margin_ = std::chrono::milliseconds(Settings.Placement_.LeaseMarginMs_);
  Terms.MaxOrderTime_ =
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
                                   std::shared_ptr<Metrics> Registry)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Members_(std::move(Members)),
      Network_(std::move(Network)), Metrics_(std::move(Registry)),
      Incarnation_(std::move(Incarnation)),
      Lease_(termsOf(Settings), Settings.Vm_, Incarnation_) {}

std::vector<std::string> OwnershipService::dependencies() const {
  return {std::string(MembershipService::Name)};
}

Status OwnershipService::start() {
  auto Renew = [this](LeaseRenewalMessage Message) {
    LeaseClaim Claim{std::move(Message.Vm_), std::move(Message.Incarnation_),
                     Message.Number_, Message.Adopted_};
    return writeBatched(std::move(Claim));
  };
  handlePeerRequests<LeaseRenewalMessage>(
      *Network_, [Renew](std::string, LeaseRenewalMessage Message) {
        return Renew(std::move(Message));
      });
  handlePeerNotices<OwnershipHandoverMessage>(
      *Network_,
      [this](const std::string &From, const OwnershipHandoverMessage &Message) {
        Lease_.recordHandover(From, Message.Incarnation_, Message.Targets_,
                              Message.Generation_);
        adopt(Message.Row_, Message.Version_);
      });
  Duration Period =
      std::chrono::milliseconds(Settings_.Placement_.LeaseTermMs_) /
      RenewalsPerTerm;
  auto Run = [this](TimePoint) { spawn(Executor_, renew()); };
  RenewTimer_ = Timers_.every(Period, BootClock::now(), Run);
  Run({});
  return std::monostate{};
}

std::string OwnershipService::writer() const {
  auto Order =
      rendezvousOrder(rowKey(), Members_->liveVmsIn(Settings_.DataCentre_));
  return Order.empty() ? Settings_.Vm_ : Order.front();
}

void OwnershipService::adopt(const std::string &Text, std::uint64_t Version) {
  auto Row = Version == 0 ? LeaseRow{} : decodeLeaseRow(Text);
  if (!Row) {
    logEvent(LogLevel::Error, "lease_row_unreadable", {{"row", rowKey()}});
    return;
  }
  std::uint64_t Before = Lease_.fencingToken();
  Lease_.adopt(*Row, Version, BootClock::now());
  Version_ = std::max(Version_, Version);
  if (Lease_.fencingToken() != Before)
    logEvent(LogLevel::Info, "owners_changed",
             {{"generation", Lease_.fencingToken()},
              {"holders", Lease_.row().Holders_.size()}});
  Changed_.fire();
}

asio::awaitable<void> OwnershipService::renew() {
  if (LeaseReleased_ || std::exchange(Renewing_, true))
    co_return;
  bool MayClaim = HasRead_ && Lease_.mayClaim(BootClock::now());
  if (!MayClaim) {
    bool WasRead = co_await readRow();
    HasRead_ |= WasRead;
    MayClaim = HasRead_ && Lease_.mayClaim(BootClock::now());
  }
  if (!MayClaim) {
    Renewing_ = false;
    co_return;
  }
  LeaseClaim Claim = Lease_.claim(BootClock::now());
  std::string Writer = writer();
  bool IsDone = false;
  if (Writer == Settings_.Vm_) {
    co_await writeBatched(Claim);
    IsDone = true;
  } else {
    LeaseRenewalMessage Renewal{Claim.Vm_, Claim.Incarnation_, Claim.Number_,
                                Claim.Adopted_};
    auto Reply = co_await callPeer<LeaseRowMessage>(
        *Network_, Writer, std::move(Renewal), WriterTimeout);
    if (isOk(Reply) && valueOf(Reply).Version_ > 0) {
      adopt(valueOf(Reply).Row_, valueOf(Reply).Version_);
      IsDone = true;
    }
  }
  if (!IsDone) {
    std::vector<LeaseClaim> OwnClaims{Claim};
    co_await write(std::move(OwnClaims));
  }
  Renewing_ = false;
}

asio::awaitable<LeaseRowMessage>
OwnershipService::writeBatched(LeaseClaim Claim) {
  Claims_.push_back(std::move(Claim));
  boost::system::error_code Ignored;
  LeaseRowMessage Reply;
  auto Shared = Batch_;
  if (Shared) {
    co_await Shared->Done_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  } else {
    // A VM without a lease writes at once.
    asio::steady_timer Collect(Executor_,
                               Lease_.leaseEnd() ? BatchWindow : Duration{0});
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

asio::awaitable<bool> OwnershipService::readRow() {
  std::vector<std::string> Keys{rowKey()};
  auto Rows = co_await Platform_->read(std::move(Keys));
  if (!isOk(Rows) || valueOf(Rows).empty())
    co_return false;
  adopt(valueOf(Rows).front().Value_, valueOf(Rows).front().Version_);
  co_return true;
}

asio::awaitable<bool> OwnershipService::write(std::vector<LeaseClaim> Claims) {
  for (int Attempt = 0; Attempt < MaxWriteAttempts && !LeaseReleased_;
       ++Attempt) {
    LeaseRow Next = Lease_.renewed(Lease_.row(), Claims, BootClock::now());
    TableTransaction Transaction;
    Transaction.Checks_.push_back({rowKey(), Version_});
    Transaction.Writes_.push_back({rowKey(), encodeLeaseRow(Next)});
    CommitOutcome Commit = co_await Platform_->commit(std::move(Transaction));
    Metrics_->count("anvil_lease_writes_total");
    if (Commit.Result_ == CommitResult::Committed) {
      bool HolderChanged = Next.Generation_ != Lease_.fencingToken();
      OwnershipHandoverMessage Notice;
      Notice.Row_ = encodeLeaseRow(Next);
      Notice.Version_ = Commit.Version_;
      adopt(Notice.Row_, Notice.Version_);
      // VMs that lose or gain targets need not wait for their next renewal.
      if (HolderChanged)
        broadcastRow(Notice);
      co_return true;
    }
    if (Commit.Result_ == CommitResult::Unavailable)
      co_return false;
    // The claim numbers in the row show whether the write took effect.
    if (!co_await readRow())
      co_return false;
    bool AllWritten = true;
    for (const LeaseClaim &Claim : Claims) {
      const LeaseHolder *Holder = Lease_.row().find(Claim.Vm_);
      AllWritten &= Holder && Holder->Incarnation_ == Claim.Incarnation_ &&
                    Holder->Claim_ >= Claim.Number_;
    }
    if (AllWritten)
      co_return true;
  }
  co_return false;
}

void OwnershipService::broadcastRow(const OwnershipHandoverMessage &Notice) {
  for (const std::string &Vm : Members_->liveVmsIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_)
      notifyPeer(*Network_, Vm, Notice);
}

void OwnershipService::announceHandover(std::vector<std::string> Targets) {
  OwnershipHandoverMessage Notice{encodeLeaseRow(Lease_.row()), Version_,
                                  Lease_.fencingToken(), Incarnation_,
                                  std::move(Targets)};
  broadcastRow(Notice);
}

asio::awaitable<void>
OwnershipService::releaseLease(std::vector<std::string> Idle) {
  LeaseReleased_ = true;
  Lease_.stop();
  Changed_.fire();
  for (int Attempt = 0; Attempt < MaxWriteAttempts; ++Attempt) {
    LeaseRow Next = Lease_.withoutSelf(Lease_.row());
    std::string Text = encodeLeaseRow(Next);
    TableTransaction Transaction;
    Transaction.Checks_.push_back({rowKey(), Version_});
    Transaction.Writes_.push_back({rowKey(), Text});
    CommitOutcome Commit = co_await Platform_->commit(std::move(Transaction));
    if (Commit.Result_ == CommitResult::Committed) {
      OwnershipHandoverMessage Notice{Text, Commit.Version_, Next.Generation_,
                                      Incarnation_, std::move(Idle)};
      broadcastRow(Notice);
      adopt(Text, Commit.Version_);
      co_return;
    }
    // Without the platform the lease expires by itself.
    if (Commit.Result_ == CommitResult::Unavailable || !co_await readRow())
      co_return;
  }
}

} // namespace anvil
