#include "Serving/TargetOwnership.h"

#include "Membership/Rendezvous.h"
#include "StoreEra/StoreEra.h"

#include <algorithm>
#include <set>

namespace anvil {

/// The number of targets for each owner in a large data centre, and the number
/// of further VMs there that are ready to take over.
static constexpr std::size_t TargetsPerVm = 4;
static constexpr std::size_t StandbyVms = 1;
static constexpr std::size_t MinLeaseCandidates = 2;

Duration TargetOwnership::termOf(const VmRow &Row) const {
  return Row.Standby_ ? Options_.StandbyTerm_ : Options_.LeaseTerm_;
}

bool TargetOwnership::looksExpired(const KnownVm &Known, TimePoint Now) const {
  return Known.Since_ + termOf(Known.Row_) + Options_.ClockMargin_ <= Now;
}

std::vector<std::string>
TargetOwnership::leaseCandidates(std::vector<std::string> Vms,
                                 std::size_t Targets) {
  std::size_t Count =
      std::max(MinLeaseCandidates,
               (Targets + TargetsPerVm - 1) / TargetsPerVm + StandbyVms);
  std::vector<std::string> First = rendezvousOrder("claimant", std::move(Vms));
  First.resize(std::min(First.size(), Count));
  return First;
}

bool TargetOwnership::mayClaimAcrossDataCentres(const OwnerClaim &Claim,
                                                TimePoint Now) const {
  Duration Wait = Options_.LeaseTerm_ + Options_.LocalClaimGrace_;
  auto Owner = Vms_.find(Claim.ExpiredVm_);
  TimePoint Since = Owner == Vms_.end() ? StartedAt_ : Owner->second.Since_;
  return Since + Wait <= Now;
}

bool TargetOwnership::isExpired(const KnownVm &Known, TimePoint Now) const {
  return areRowsFresh(Now) && looksExpired(Known, Now);
}

bool TargetOwnership::areRowsFresh(TimePoint Now) const {
  return RowsReadAt_ && *RowsReadAt_ + Options_.MaxRowAge_ > Now;
}

bool TargetOwnership::needsRead(TimePoint Now) const {
  if (areRowsFresh(Now))
    return false;
  return std::ranges::any_of(Vms_, [&](const auto &Entry) {
    return Entry.first != Self_ && looksExpired(Entry.second, Now);
  });
}

void TargetOwnership::applyVms(const std::vector<VmRow> &Rows,
                               TimePoint ReadAt) {
  RowsReadAt_ = ReadAt;
  std::map<std::string, KnownVm> Seen;
  for (const VmRow &Row : Rows) {
    auto Found = Vms_.find(Row.Vm_);
    bool IsSame = Found != Vms_.end() &&
                  Found->second.Row_.RowVersion_ >= Row.RowVersion_;
    Seen.emplace(Row.Vm_, IsSame ? Found->second : KnownVm{Row, ReadAt});
  }
  Vms_ = std::move(Seen);
}

void TargetOwnership::applyOwners(const std::vector<OwnerRow> &Rows,
                                  TimePoint ReadAt) {
  std::map<std::string, KnownOwner> Seen;
  for (const OwnerRow &Row : Rows) {
    auto Found = Owners_.find(Row.Target_);
    if (Found != Owners_.end() &&
        Found->second.Row_.RowVersion_ >= Row.RowVersion_) {
      Seen.emplace(Row.Target_, Found->second);
      continue;
    }
    KnownOwner New{Row, ReadAt};
    // A row of this VM is either from an earlier incarnation of its process,
    // which may continue at once, or from a claim whose reply was lost.
    auto Sent = ClaimSentAt_.find(Row.Target_);
    if (Row.Vm_ == Self_ && Sent != ClaimSentAt_.end() &&
        Row.Fence_ > StoreEra::firstFence(Era_))
      New.OrdersFrom_ = Sent->second + Options_.HandoverPause_;
    auto Held = Held_.find(Row.Target_);
    if (Row.Vm_ == Self_ && Held != Held_.end())
      New.OrdersFrom_ =
          std::max(New.OrdersFrom_, Held->second.Owner_.OrdersFrom_);
    Seen.emplace(Row.Target_, New);
  }
  Owners_ = std::move(Seen);
  std::erase_if(Held_, [&](const auto &Entry) {
    return Owners_.contains(Entry.first) || Entry.second.Until_ <= ReadAt;
  });
}

void TargetOwnership::startEra(std::uint64_t Era, TimePoint NewOwnersFrom,
                               TimePoint Now) {
  if (Era <= Era_)
    return;
  std::erase_if(Held_,
                [&](const auto &Entry) { return Entry.second.Until_ <= Now; });
  if (isLeased(Now))
    for (const auto &[Target, Known] : Owners_)
      if (Known.Row_.Vm_ == Self_)
        Held_[Target] = {Known, *RenewedAt_ + Options_.LeaseTerm_};
  Era_ = Era;
  NewOwnersFrom_ = NewOwnersFrom;
  Owners_.clear();
  Vms_.clear();
  ClaimSentAt_.clear();
  RenewedAt_.reset();
  RowsReadAt_.reset();
}

bool TargetOwnership::isLeased(TimePoint Now) const {
  return RenewedAt_ && *RenewedAt_ + Options_.LeaseTerm_ > Now;
}

bool TargetOwnership::isHeld(const std::string &Target, TimePoint Now) const {
  auto Found = Held_.find(Target);
  return Found != Held_.end() && Found->second.Until_ > Now;
}

std::vector<OwnerClaim> TargetOwnership::heldClaims(TimePoint Now) const {
  std::vector<OwnerClaim> Claims;
  for (const auto &[Target, Held] : Held_) {
    if (!isHeld(Target, Now))
      continue;
    OwnerClaim Claim;
    Claim.Row_ = {Target, Self_, StoreEra::firstFence(Era_), 0};
    Claims.push_back(std::move(Claim));
  }
  return Claims;
}

void TargetOwnership::recordRenewalRefused() {
  RenewedAt_.reset();
  Owners_.clear();
}

void TargetOwnership::recordClaimed(const OwnerRow &Row, TimePoint Now) {
  // The first owner of a target has no predecessor to wait for.
  bool IsFirst = Row.Fence_ <= StoreEra::firstFence(Era_);
  Duration Pause = IsFirst ? Duration::zero() : Options_.HandoverPause_;
  TimePoint OrdersFrom = Now + Pause;
  if (auto Held = Held_.find(Row.Target_); Held != Held_.end()) {
    OrdersFrom = std::max(OrdersFrom, Held->second.Owner_.OrdersFrom_);
    Held_.erase(Held);
  }
  Owners_[Row.Target_] = {Row, OrdersFrom};
}

std::optional<OwnerClaim> TargetOwnership::claimOf(const std::string &Target,
                                                   TimePoint Now) const {
  OwnerClaim Claim;
  Claim.Row_ = {Target, Self_, StoreEra::firstFence(Era_), 0};
  auto Found = Owners_.find(Target);
  if (Found == Owners_.end()) {
    // Another VM may hold the target from an earlier era.
    bool MustWait = isHeld(Target, Now) || Now < NewOwnersFrom_;
    return MustWait ? std::nullopt : std::optional(std::move(Claim));
  }
  const OwnerRow &Row = Found->second.Row_;
  auto Owner = Vms_.find(Row.Vm_);
  bool IsFree = Row.Vm_.empty() || Owner == Vms_.end() ||
                (Row.Vm_ != Self_ && isExpired(Owner->second, Now));
  if (!IsFree)
    return std::nullopt;
  Claim.ExpectedRow_ = Row.RowVersion_;
  Claim.Row_.Fence_ = Row.Fence_ + 1;
  Claim.ExpiredVm_ = Row.Vm_;
  if (Owner != Vms_.end())
    Claim.ExpiredVmRow_ = Owner->second.Row_.RowVersion_;
  return Claim;
}

std::vector<OwnerClaim>
TargetOwnership::claims(const std::map<std::string, std::string> &Targets,
                        TimePoint Now) const {
  if (!isLeased(Now))
    return {};
  std::vector<OwnerClaim> Claims = heldClaims(Now);
  if (StartedAt_ + Options_.SettleTime_ > Now)
    return Claims;
  std::map<std::string, std::vector<std::string>> Live;
  std::vector<std::string> AllLive;
  std::set<std::string> DataCentresWithVms;
  for (const VmRow &Row : liveVms(Now)) {
    DataCentresWithVms.insert(Row.DataCentre_);
    if (Row.Standby_)
      continue;
    Live[Row.DataCentre_].push_back(Row.Vm_);
    AllLive.push_back(Row.Vm_);
  }
  if (AllLive.empty())
    return Claims;
  std::map<std::string, std::size_t> OwnedCount;
  std::map<std::string, std::size_t> LocalTargets;
  for (const auto &[Target, DataCentre] : Targets) {
    ++LocalTargets[DataCentre];
    ++OwnedCount[ownerOf(Target, Now)];
  }
  for (const auto &[Target, DataCentre] : Targets) {
    auto Claim = claimOf(Target, Now);
    if (!Claim)
      continue;
    const auto &LocalVms = Live[DataCentre];
    bool MustWait = LocalVms.empty() &&
                    DataCentresWithVms.contains(DataCentre) &&
                    !mayClaimAcrossDataCentres(*Claim, Now);
    if (MustWait)
      continue;
    const auto &Eligible = LocalVms.empty() ? AllLive : LocalVms;
    std::size_t TargetCount =
        LocalVms.empty() ? Targets.size() : LocalTargets[DataCentre];
    std::size_t FairShare =
        (TargetCount + Eligible.size() - 1) / Eligible.size();
    // The highest-ranked VM below its fair share claims it.
    for (const std::string &Vm : rendezvousOrder(Target, Eligible)) {
      if (OwnedCount[Vm] >= FairShare)
        continue;
      ++OwnedCount[Vm];
      if (Vm == Self_)
        Claims.push_back(*Claim);
      break;
    }
  }
  return Claims;
}

std::optional<std::uint64_t>
TargetOwnership::orderingFence(const std::string &Target, TimePoint Now) const {
  auto Found = Owners_.find(Target);
  const KnownOwner *Owner = nullptr;
  if (Found != Owners_.end() && isLeased(Now))
    Owner = &Found->second;
  else if (Found == Owners_.end() && isHeld(Target, Now))
    Owner = &Held_.at(Target).Owner_;
  if (!Owner || Owner->Row_.Vm_ != Self_ || Owner->OrdersFrom_ > Now)
    return std::nullopt;
  return Owner->Row_.Fence_;
}

bool TargetOwnership::mayHavePredecessor(const OwnerRow &Row) const {
  bool IsFirstOwner = Row.Fence_ <= StoreEra::firstFence(Era_) &&
                      ClaimSentAt_.contains(Row.Target_);
  // Owners of earlier eras have left no rows.
  return !IsFirstOwner || NewOwnersFrom_ > StartedAt_;
}

std::string TargetOwnership::ownerOf(const std::string &Target,
                                     TimePoint Now) const {
  auto Found = Owners_.find(Target);
  if (Found != Owners_.end())
    return Found->second.Row_.Vm_;
  return isHeld(Target, Now) ? Self_ : std::string();
}

std::vector<OwnerRow> TargetOwnership::owned() const {
  std::vector<OwnerRow> Rows;
  for (const auto &[Target, Known] : Owners_)
    if (Known.Row_.Vm_ == Self_)
      Rows.push_back(Known.Row_);
  for (const auto &[Target, Held] : Held_)
    Rows.push_back(Held.Owner_.Row_);
  return Rows;
}

std::vector<VmRow> TargetOwnership::liveVms(TimePoint Now) const {
  std::vector<VmRow> Live;
  for (const auto &[Name, Known] : Vms_)
    if (Name == Self_ || !isExpired(Known, Now))
      Live.push_back(Known.Row_);
  return Live;
}

std::vector<VmRow> TargetOwnership::rowsToPurge(TimePoint Now) const {
  std::vector<std::string> Live;
  for (const VmRow &Row : liveVms(Now))
    if (!Row.Standby_)
      Live.push_back(Row.Vm_);
  std::vector<VmRow> Rows;
  for (const auto &[Name, Known] : Vms_) {
    Duration Retention =
        Options_.RowRetention_ + termOf(Known.Row_) - Options_.LeaseTerm_;
    bool IsOld =
        Name != Self_ && areRowsFresh(Now) && Known.Since_ + Retention <= Now;
    if (IsOld && !Live.empty() && rendezvousOrder(Name, Live).front() == Self_)
      Rows.push_back(Known.Row_);
  }
  return Rows;
}

} // namespace anvil
