// The rows of VMs and owners in the store: EngineOwnershipService reads, renews
// and claims them here.

#include "Entry/EngineOwnershipService.h"

#include "Entry/FleetState.h"
#include "Entry/OwnerRows.h"
#include "Entry/RandomFraction.h"
#include "Entry/ReachService.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Kernel/EnumNames.h"
#include "Membership/Rendezvous.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// Period of the first rounds, until the first claims are settled. VMs that
/// start together have all written their rows by the second round.
static constexpr Duration StartPeriod = std::chrono::milliseconds(800);
static constexpr std::uint64_t StartRounds = 4;

/// Numbers of renewals from one read of all VMs' rows to the next: in a small
/// fleet, for target owners in a large fleet, and for standby VMs. A standby
/// VM writes its own row only in the rounds in which it reads.
static constexpr std::uint64_t RoundsPerRead = 2;
static constexpr std::uint64_t RoundsPerReadLarge = 3;
static constexpr std::uint64_t RoundsPerStandbyRead = 7;

/// The maximum random delay before rows are written again in a new era, so that
/// the VMs don't call the store at the same time.
static constexpr Duration MaxRewriteDelay = std::chrono::milliseconds(200);

/// The fraction of a period by which rounds are shortened at random, so that
/// VMs that started or regained the store together don't call it at the same
/// time.
static constexpr double RoundJitter = 0.1;

void EngineOwnershipService::startEra(std::uint64_t Era) {
  TimePoint Now = BootClock::now();
  std::size_t OwnedBefore = Ownership_.owned().size();
  TimePoint NewOwnersFrom = Store_->era().earlierRightsEndAt(
      Ownership_.rightsValidity(), Settings_.Bootstrap_);
  Ownership_.startEra(Era, NewOwnersFrom, Now);
  Duration Wait = NewOwnersFrom > Now ? NewOwnersFrom - Now : Duration::zero();
  logEvent(LogLevel::Info, "ownership_era_begun",
           {{"era", Era},
            {"owned", OwnedBefore},
            {"held", Ownership_.owned().size()},
            {"new_owners_wait_ms", toMillis(Wait)}});
  HasRead_ = false;
  OwnRowVersion_ = 0;
  IsRowWritten_ = false;
  Fleet_->setStoreEra(Era);
  RoundTimer_.cancel();
}

VmRow EngineOwnershipService::ownRow() const {
  Endpoint Peer{Settings_.Listen_.Address_, Link_->port()};
  return {Self_,       Incarnation_,        Settings_.DataCentre_,
          Peer.text(), Renewals_,           OwnRowVersion_,
          Standby_,    Reach_->relayPort(), Reach_->relayKey()};
}

bool EngineOwnershipService::isLeaseCandidate(TimePoint Now) const {
  if (!Link_->topology().isSplit() || !Ownership_.owned().empty())
    return true;
  std::vector<std::string> Serving = Fleet_->servingPeers(Now);
  Serving.push_back(Self_);
  auto LocalEngines = std::ranges::count_if(engines(), [&](const auto &Entry) {
    return Entry.second == Settings_.DataCentre_;
  });
  auto Candidates = TargetOwnership::leaseCandidates(
      std::move(Serving), static_cast<std::size_t>(LocalEngines));
  return std::ranges::find(Candidates, Self_) != Candidates.end();
}

std::uint64_t EngineOwnershipService::roundsPerRead() const {
  if (Standby_)
    return RoundsPerStandbyRead;
  return Link_->topology().isSplit() ? RoundsPerReadLarge : RoundsPerRead;
}

asio::awaitable<bool> EngineOwnershipService::updateRows(std::uint64_t Round,
                                                         bool JustRead) {
  bool IsDue = ++RoundsSinceRead_ >= roundsPerRead();
  bool IsStarting = Round == 1 || (Round < StartRounds && !Standby_);
  bool IsWriteUncertain = Round > 0 && !IsRowWritten_ && !JustRead;
  bool MustRead = IsDue || IsStarting || IsWriteUncertain;
  if (MustRead)
    co_await readRows();
  bool WasStandby = Standby_;
  // `isLeaseCandidate` needs state updates; none have arrived in round 0, since
  // the rows of the other VMs were unknown. What this VM owns is certain only
  // from rows that were just read.
  if (Round == 0)
    Standby_ = Ownership_.owned().empty();
  else if (Standby_ || MustRead)
    Standby_ = !isLeaseCandidate(BootClock::now());
  bool CanSkipRenewal = IsRowWritten_ && Standby_ && WasStandby && !IsDue;
  if (CanSkipRenewal)
    co_return false;
  co_return co_await renew() && !Standby_;
}

asio::awaitable<void> EngineOwnershipService::maintainRows() {
  for (std::uint64_t Round = 0; !Stopping_;) {
    bool MustRead = !HasRead_;
    if (MustRead)
      co_await readRows();
    if (HasRead_ && co_await updateRows(Round, MustRead)) {
      if (Ownership_.needsRead(BootClock::now()))
        co_await readRows();
      co_await claimTargets();
      co_await removeExpiredVms();
      co_await removeEarlierRows();
    }
    updateEngines();
    // Without the rows of the store's era the next round comes early.
    Duration Period =
        Round < StartRounds || !HasRead_
            ? StartPeriod
            : std::chrono::milliseconds(Settings_.Store_.RenewPeriodMs_);
    Round += HasRead_ ? 1 : 0;
    // A new era that begins in the pause shortens it.
    RoundTimer_.expires_after(std::chrono::duration_cast<Duration>(
        Period * (1 - RoundJitter * randomFraction())));
    boost::system::error_code Interrupted;
    co_await RoundTimer_.async_wait(
        asio::redirect_error(asio::use_awaitable, Interrupted));
    if (Interrupted)
      co_await pauseFor(std::chrono::duration_cast<Duration>(MaxRewriteDelay *
                                                             randomFraction()));
  }
}

asio::awaitable<void> EngineOwnershipService::readRows() {
  auto Rows = co_await Store_->scan("", "", SIZE_MAX);
  if (!isOk(Rows))
    co_return;
  TimePoint Now = BootClock::now();
  ControlRows Decoded =
      decodeControlRows(valueOf(Rows), Store_->era().current());
  Ownership_.applyVms(Decoded.Vms_, Now);
  Ownership_.applyOwners(Decoded.Owners_, Now);
  RoundsSinceRead_ = 0;
  if (!HasRead_) {
    // Adopt the row that an earlier incarnation of this VM wrote.
    for (const VmRow &Row : Decoded.Vms_)
      if (Row.Vm_ == Self_)
        OwnRowVersion_ = Row.RowVersion_;
    HasRead_ = true;
  }
  updatePeers(Decoded, Now);
  EarlierRows_ = std::move(Decoded.EarlierRows_);
  RowsRead_.fire();
}

void EngineOwnershipService::updatePeers(const ControlRows &Rows,
                                         TimePoint Now) {
  std::map<std::string, FleetLink::PeerLocation> Peers;
  for (const auto *Vms : {&Rows.Vms_, &Rows.EarlierVms_})
    for (const VmRow &Row : *Vms) {
      auto Address = parseEndpoint(Row.PeerAddress_);
      if (Row.Vm_ != Self_ && isOk(Address))
        Peers[Row.Vm_] = {valueOf(Address), Row.DataCentre_, Row.RelayPort_,
                          Row.RelayKey_};
    }
  Link_->setPeers(Peers);
  std::size_t Count = Ownership_.knownVms() + Rows.EarlierVms_.size();
  Fleet_->setVms(std::max<std::size_t>(1, Count), Now);
}

asio::awaitable<bool> EngineOwnershipService::renew() {
  if (!HasRead_)
    co_return false;
  TableTransaction Change;
  ++Renewals_;
  std::uint64_t Era = Store_->era().current();
  std::string OwnKey = vmRowKey(Self_, Era);
  Change.Checks_.push_back({OwnKey, OwnRowVersion_});
  Change.Writes_.push_back({OwnKey, encodeVmRow(ownRow())});
  TimePoint SentAt = BootClock::now();
  CommitOutcome Outcome = co_await Store_->commit(std::move(Change));
  Metrics_->observe("anvil_lease_renewal_seconds", {},
                    BootClock::now() - SentAt);
  // The row that was written is one of an earlier era.
  if (Store_->era().current() != Era)
    co_return false;
  IsRowWritten_ = Outcome.Result_ == CommitResult::Committed;
  if (IsRowWritten_) {
    bool WasMissing = std::exchange(OwnRowVersion_, Outcome.Version_) == 0;
    if (WasMissing && !Ownership_.owned().empty()) {
      Ownership_.recordRowCreated();
      co_await readRows();
      if (Store_->era().current() != Era)
        co_return false;
    }
    if (Standby_)
      Ownership_.recordStandby();
    else
      Ownership_.recordRenewal(SentAt);
    co_return true;
  }
  logEvent(LogLevel::Warning, "lease_not_renewed",
           {{"reason", Outcome.Detail_}, {"renewals", Renewals_}});
  if (Outcome.Result_ != CommitResult::Unavailable)
    co_await resolveRenewal();
  co_return false;
}

asio::awaitable<void> EngineOwnershipService::resolveRenewal() {
  std::uint64_t Era = Store_->era().current();
  std::vector<std::string> Keys{vmRowKey(Self_, Era)};
  auto Rows = co_await Store_->read(std::move(Keys));
  if (!isOk(Rows) || Store_->era().current() != Era)
    co_return;
  const TableRow &Row = valueOf(Rows).front();
  ControlRows Decoded = decodeControlRows({Row}, Era);
  bool IsOwn = Row.Version_ > 0 && !Decoded.Vms_.empty() &&
               Decoded.Vms_.front().Incarnation_ == Incarnation_;
  if (!IsOwn) {
    logEvent(LogLevel::Warning, "lease_lost", {{"row", Row.Version_}});
    Ownership_.recordRenewalRefused();
  }
  OwnRowVersion_ = Row.Version_;
}

asio::awaitable<void> EngineOwnershipService::claimTargets() {
  TimePoint Now = BootClock::now();
  std::uint64_t Era = Store_->era().current();
  for (const OwnerClaim &Claim : Ownership_.claims(engines(), Now)) {
    // Without its own row this VM has no lease in the store's era.
    if (Store_->era().current() != Era || OwnRowVersion_ == 0)
      co_return;
    auto Change = claimTransaction(Claim, Self_, OwnRowVersion_, Era);
    TimePoint SentAt = BootClock::now();
    Ownership_.recordClaimSent(Claim.Row_.Target_, SentAt);
    CommitOutcome Outcome = co_await Store_->commit(std::move(Change));
    logEvent(LogLevel::Info, "engine_claimed",
             {{"target", Claim.Row_.Target_},
              {"fence", Claim.Row_.Fence_},
              {"from", Claim.ExpiredVm_},
              {"outcome", enumName(Outcome.Result_, CommitResultNames)}});
    bool IsOwn = Outcome.Result_ == CommitResult::Committed &&
                 Store_->era().current() == Era;
    if (!IsOwn)
      continue;
    OwnerRow Row = Claim.Row_;
    Row.RowVersion_ = Outcome.Version_;
    Ownership_.recordClaimed(Row, SentAt);
  }
}

asio::awaitable<void> EngineOwnershipService::removeExpiredVms() {
  TimePoint Now = BootClock::now();
  std::uint64_t Era = Store_->era().current();
  for (const VmRow &Row : Ownership_.rowsToPurge(Now)) {
    TableRow Expired{vmRowKey(Row.Vm_, Era), "", Row.RowVersion_};
    TableTransaction Change = removal({std::move(Expired)});
    CommitOutcome Outcome = co_await Store_->commit(std::move(Change));
    logEvent(LogLevel::Info, "silent_vm_removed",
             {{"peer", Row.Vm_}, {"outcome", Outcome.Detail_}});
  }
}

asio::awaitable<void> EngineOwnershipService::removeEarlierRows() {
  TimePoint Now = BootClock::now();
  if (EarlierRows_.empty() || !Ownership_.areEarlierRowsVoid(Now))
    co_return;
  std::vector<std::string> Live;
  for (const VmRow &Row : Ownership_.liveVms(Now))
    if (!Row.Standby_)
      Live.push_back(Row.Vm_);
  bool IsRemover =
      !Live.empty() && rendezvousOrder("earlier_rows", Live).front() == Self_;
  if (!IsRemover)
    co_return;
  CommitOutcome Outcome = co_await Store_->commit(removal(EarlierRows_));
  logEvent(LogLevel::Info, "earlier_rows_removed",
           {{"rows", EarlierRows_.size()},
            {"era", Store_->era().current()},
            {"outcome", Outcome.Detail_}});
  EarlierRows_.clear();
}

} // namespace anvil
