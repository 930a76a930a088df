#include "Admission/QuotaHolder.h"

#include "Kernel/Invariant.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// Relative change below which a part or a demand is not written.
static constexpr double WorthWriting = 0.2;

/// Parts below this are given up instead of being kept in a row.
static constexpr double SmallestPart = 1e-4;

/// Demand, in tokens per second, below which a VM that holds no part is removed
/// from the row.
static constexpr double SmallestDemand = 0.01;

/// Tolerance for rounding errors in sums of parts.
static constexpr double RoundingPart = 1e-9;

QuotaHolder::QuotaHolder(QuotaTiming Timing, Duration Term, Duration LongTerm,
                         std::string Vm, std::string DataCentre,
                         std::string Incarnation, TimePoint Now)
    : Timing_(Timing), Term_(Term), LongTerm_(LongTerm), Vm_(std::move(Vm)),
      DataCentre_(std::move(DataCentre)), Incarnation_(std::move(Incarnation)),
      Born_(Now) {}

bool QuotaHolder::oldLoansEnded(TimePoint Now) const {
  return Now - Born_ >= Timing_.LoanTerm_ + Timing_.Margin_;
}

void QuotaHolder::drop(TimePoint Now) {
  Lease_.clear();
  for (auto &[Customer, Known] : Entries_) {
    Known.Share_.setLease({}, {}, Now);
    Known.Share_.setPart(0, Now);
    Known.Pending_.reset();
  }
}

void QuotaHolder::expire(TimePoint Now) {
  if (Lease_.empty() || Now < End_)
    return;
  Replaces_ = Lease_;
  drop(Now);
}

QuotaRenewal QuotaHolder::renewal(TimePoint Now) {
  expire(Now);
  QuotaRenewal Asked;
  Asked.Vm_ = Vm_;
  Asked.DataCentre_ = DataCentre_;
  Asked.Counter_ = ++Counter_;
  if (!Lease_.empty()) {
    Asked.Wish_ = QuotaLeaseWish::Renew;
    Asked.Id_ = Lease_;
    Asked.Seen_ = SeenVersion_;
    return Asked;
  }
  Asked.Id_ = Vm_ + "#" + Incarnation_ + "#" + std::to_string(Counter_);
  Asked.Replaces_ = Replaces_;
  Asked.OldLoansEnded_ = oldLoansEnded(Now);
  return Asked;
}

QuotaRenewal QuotaHolder::release(TimePoint Now) {
  QuotaRenewal Asked = renewal(Now);
  Asked.Wish_ = QuotaLeaseWish::Release;
  Releasing_ = true;
  drop(Now);
  return Asked;
}

void QuotaHolder::renewed(const QuotaRenewal &Renewal,
                          const QuotaRenewalReply &Reply, TimePoint Asked,
                          TimePoint Now) {
  expire(Now);
  bool IsJoin = Renewal.Wish_ == QuotaLeaseWish::Join;
  // Only the reply to the newest acquire request counts: it names the lease in
  // the row.
  bool IsCurrent =
      IsJoin ? Lease_.empty() && Renewal.Counter_ == Counter_ && !Releasing_
             : Renewal.Id_ == Lease_ && !Lease_.empty();
  if (!IsCurrent)
    return;
  if (!Reply.Accepted_) {
    // A renewal that was refused because a later one had been applied before it
    // carries no information.
    if (IsJoin || Reply.CurrentId_ != Lease_) {
      Replaces_ = Reply.CurrentId_;
      drop(Now);
    }
    return;
  }
  TimePoint End = Asked + Term_;
  if (IsJoin) {
    Replaces_ = Renewal.Id_;
    if (End <= Now)
      return;
    Lease_ = Renewal.Id_;
    From_ = Now;
    End_ = End;
  }
  End_ = std::max(End_, End);
  Confirmed_ = std::max(Confirmed_, Asked);
  if (Reply.Version_ > SeenVersion_) {
    SeenVersion_ = Reply.Version_;
    Mates_ = Reply.Mates_;
    std::erase(Mates_, Vm_);
  }
  spreadLease(Now);
}

void QuotaHolder::promised(const std::string &Lease, TimePoint Asked,
                           TimePoint Now) {
  expire(Now);
  if (Lease_.empty() || Lease != Lease_)
    return;
  TimePoint End = std::min(Asked + Term_, Confirmed_ + LongTerm_);
  End_ = std::max(End_, End);
  spreadLease(Now);
}

void QuotaHolder::spreadLease(TimePoint Now) {
  for (auto &[Customer, Known] : Entries_)
    Known.Share_.setLease(From_, End_, Now);
}

QuotaShare &QuotaHolder::share(const std::string &Customer,
                               double RatePerSecond, double Burst,
                               TimePoint Now) {
  expire(Now);
  auto [Found, IsNew] = Entries_.try_emplace(
      Customer, Entry{QuotaShare(Timing_, Now), std::nullopt});
  QuotaShare &Share = Found->second.Share_;
  if (IsNew && !Lease_.empty())
    Share.setLease(From_, End_, Now);
  Share.setLimits(RatePerSecond, Burst, Now);
  Share.setFloor(oldLoansEnded(Now) ? Floor_ : 0, Now);
  return Share;
}

QuotaShare *QuotaHolder::find(const std::string &Customer) {
  auto Found = Entries_.find(Customer);
  return Found == Entries_.end() ? nullptr : &Found->second.Share_;
}

void QuotaHolder::observed(const std::string &Customer,
                           const QuotaHoldings &Row, std::uint64_t Version,
                           TimePoint Now) {
  expire(Now);
  Entry &Known = Entries_.at(Customer);
  auto Mine = Row.ByLease_.find(Lease_);
  double Part =
      Lease_.empty() || Mine == Row.ByLease_.end() ? 0 : Mine->second.Part_;
  if (!Known.Pending_) {
    Known.Share_.setPart(Part, Now);
    return;
  }
  const QuotaEdit &Edit = *Known.Pending_;
  // The edit may still be applied as long as the row has the version it checks.
  if (Version == Edit.Version_)
    return;
  bool HasLanded =
      Mine != Row.ByLease_.end() && Mine->second.Edit_ == Edit.Number_;
  double Fresh = HasLanded ? Edit.Fresh_ : 0;
  Known.Pending_.reset();
  Known.Share_.setPart(Part, Now);
  Known.Share_.fill(Fresh, Now);
}

std::optional<QuotaEdit>
QuotaHolder::plan(const std::string &Customer, QuotaHoldings Row,
                  std::uint64_t Version, const std::set<std::string> &Alive,
                  double Demand, double Reserve, TimePoint Now) {
  expire(Now);
  if (Lease_.empty() || !Alive.contains(Lease_))
    return std::nullopt;
  Entry &Known = Entries_.at(Customer);
  bool WasCleaned = Row.dropOthers(Alive);
  QuotaEdit Edit;
  Edit.Customer_ = Customer;
  Edit.Lease_ = Lease_;
  Edit.Number_ = NextEdit_++;
  Edit.Version_ = Version;
  bool Creates = Version == 0;
  if (Creates)
    Row.Fresh_ = 1 - Reserve;
  auto Mine = Row.ByLease_.find(Lease_);
  double KnownDemand = 0;
  if (Mine != Row.ByLease_.end()) {
    Edit.OldPart_ = Mine->second.Part_;
    KnownDemand = Mine->second.Demand_;
  }
  Edit.NewPart_ = nextQuotaPart(Row, Lease_, Demand, Reserve);
  // Half of the burst is left for VMs that join later, so that their part has
  // tokens too.
  if (Creates)
    Edit.NewPart_ = std::min(Edit.NewPart_, Row.Fresh_ / 2);
  // The part that covers outstanding loans is still in use and cannot be given
  // up yet.
  double Lent = Known.Share_.lentPart(Now);
  if (Edit.NewPart_ < Edit.OldPart_)
    Edit.NewPart_ = std::min(Edit.OldPart_, std::max(Edit.NewPart_, Lent));
  if (Edit.NewPart_ < SmallestPart && Lent <= 0)
    Edit.NewPart_ = 0;
  bool Leaves = Edit.NewPart_ <= 0 && Demand < SmallestDemand;
  if (Leaves && Mine == Row.ByLease_.end())
    return std::nullopt;
  auto Differs = [](double Old, double New) {
    return std::abs(New - Old) > WorthWriting * std::max(Old, New);
  };
  bool IsPending = Known.Pending_.has_value();
  if (!WasCleaned && !IsPending && !Creates &&
      !Differs(Edit.OldPart_, Edit.NewPart_) && !Differs(KnownDemand, Demand))
    return std::nullopt;
  Edit.Fresh_ =
      std::min(Row.Fresh_, std::max(0.0, Edit.NewPart_ - Edit.OldPart_));
  Row.Fresh_ -= Edit.Fresh_;
  if (Leaves)
    Row.ByLease_.erase(Lease_);
  else
    Row.ByLease_[Lease_] = {Edit.NewPart_, Demand, Edit.Number_, Vm_,
                            DataCentre_};
  Edit.Row_ = std::move(Row);
  checkInvariant(Edit.Row_.total() + Edit.Row_.Fresh_ <=
                     1 - Reserve + RoundingPart,
                 "an edit gives out more than the whole quota");
  double Usable = std::min(Known.Share_.part(), Edit.NewPart_);
  Known.Share_.setPart(Usable, Now);
  if (!IsPending)
    Known.Pending_ = Edit;
  return Edit;
}

void QuotaHolder::settled(const QuotaEdit &Edit, QuotaEditEnd End,
                          TimePoint Now) {
  expire(Now);
  Entry &Known = Entries_.at(Edit.Customer_);
  // The lease, and with it all parts held under it, was lost in the meantime.
  if (!Known.Pending_ || Edit.Lease_ != Lease_)
    return;
  if (End == QuotaEditEnd::NotSent && Known.Pending_->Number_ == Edit.Number_)
    Known.Pending_.reset();
  // In the other cases the next read of a higher version shows whether the edit
  // took effect; until then the smaller of the two parts is used.
  if (End != QuotaEditEnd::Done)
    return;
  Known.Pending_.reset();
  Known.Share_.setPart(Edit.NewPart_, Now);
  Known.Share_.fill(Edit.Fresh_, Now);
}

} // namespace anvil
