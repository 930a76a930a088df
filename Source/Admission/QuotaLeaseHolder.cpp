#include "Admission/QuotaLeaseHolder.h"

#include "Kernel/Invariant.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// Relative change below which a part or a demand is not written.
static constexpr double MinRelativeChange = 0.2;

/// Parts below this are given up instead of being kept in a row.
static constexpr double MinPart = 1e-4;

/// Demand, in tokens per second, below which a VM that holds no part is removed
/// from the row.
static constexpr double MinDemand = 0.01;

/// Tolerance for rounding errors in sums of parts.
static constexpr double PartTolerance = 1e-9;

QuotaLeaseHolder::QuotaLeaseHolder(QuotaTiming Timing, Duration Term,
                                   Duration LongTerm, std::string Vm,
                                   std::string DataCentre,
                                   std::string Incarnation, TimePoint Now)
    : Timing_(Timing), Term_(Term), LongTerm_(LongTerm), Vm_(std::move(Vm)),
      DataCentre_(std::move(DataCentre)), Incarnation_(std::move(Incarnation)),
      StartedAt_(Now) {}

bool QuotaLeaseHolder::oldLoansEnded(TimePoint Now) const {
  return Now - StartedAt_ >= Timing_.LoanTerm_ + Timing_.Margin_;
}

void QuotaLeaseHolder::dropLease(TimePoint Now) {
  Lease_.clear();
  for (auto &[Customer, State] : Entries_) {
    State.Share_.setLease({}, {}, Now);
    State.Share_.setPart(0, Now);
    State.Pending_.reset();
  }
}

void QuotaLeaseHolder::expire(TimePoint Now) {
  if (Lease_.empty() || Now < LeaseEnd_)
    return;
  Replaces_ = Lease_;
  dropLease(Now);
}

QuotaLeaseRequest QuotaLeaseHolder::nextRequest(TimePoint Now) {
  expire(Now);
  QuotaLeaseRequest Request;
  Request.Vm_ = Vm_;
  Request.DataCentre_ = DataCentre_;
  Request.Counter_ = ++Counter_;
  if (!Lease_.empty()) {
    Request.Action_ = QuotaLeaseAction::Renew;
    Request.Id_ = Lease_;
    Request.SeenVersion_ = SeenVersion_;
    return Request;
  }
  Request.Id_ = Vm_ + "#" + Incarnation_ + "#" + std::to_string(Counter_);
  Request.Replaces_ = Replaces_;
  Request.OldLoansEnded_ = oldLoansEnded(Now);
  return Request;
}

QuotaLeaseRequest QuotaLeaseHolder::release(TimePoint Now) {
  QuotaLeaseRequest Request = nextRequest(Now);
  Request.Action_ = QuotaLeaseAction::Release;
  Releasing_ = true;
  dropLease(Now);
  return Request;
}

void QuotaLeaseHolder::applyReply(const QuotaLeaseRequest &Request,
                                  const QuotaLeaseReply &Reply,
                                  TimePoint SentAt, TimePoint Now) {
  expire(Now);
  bool IsAcquire = Request.Action_ == QuotaLeaseAction::Acquire;
  // Only the reply to the newest acquire request counts: it names the lease in
  // the row.
  bool IsCurrent =
      IsAcquire ? Lease_.empty() && Request.Counter_ == Counter_ && !Releasing_
                : Request.Id_ == Lease_ && !Lease_.empty();
  if (!IsCurrent)
    return;
  if (!Reply.Accepted_) {
    // A renewal that was refused because a later one had been applied before it
    // carries no information.
    if (IsAcquire || Reply.CurrentId_ != Lease_) {
      Replaces_ = Reply.CurrentId_;
      dropLease(Now);
    }
    return;
  }
  TimePoint End = SentAt + Term_;
  if (IsAcquire) {
    Replaces_ = Request.Id_;
    if (End <= Now)
      return;
    Lease_ = Request.Id_;
    LeaseStart_ = Now;
    LeaseEnd_ = End;
  }
  LeaseEnd_ = std::max(LeaseEnd_, End);
  LastRenewalSentAt_ = std::max(LastRenewalSentAt_, SentAt);
  if (Reply.Version_ > SeenVersion_) {
    SeenVersion_ = Reply.Version_;
    Peers_ = Reply.Peers_;
    std::erase(Peers_, Vm_);
  }
  updateShareLeases(Now);
}

void QuotaLeaseHolder::extendByPromises(const std::string &Lease,
                                        TimePoint SentAt, TimePoint Now) {
  expire(Now);
  if (Lease_.empty() || Lease != Lease_)
    return;
  TimePoint End = std::min(SentAt + Term_, LastRenewalSentAt_ + LongTerm_);
  LeaseEnd_ = std::max(LeaseEnd_, End);
  updateShareLeases(Now);
}

void QuotaLeaseHolder::updateShareLeases(TimePoint Now) {
  for (auto &[Customer, State] : Entries_)
    State.Share_.setLease(LeaseStart_, LeaseEnd_, Now);
}

QuotaShare &QuotaLeaseHolder::share(const std::string &Customer,
                                    double RatePerSecond, double Burst,
                                    TimePoint Now) {
  expire(Now);
  auto [Found, IsNew] = Entries_.try_emplace(
      Customer, Entry{QuotaShare(Timing_, Now), std::nullopt});
  QuotaShare &Share = Found->second.Share_;
  if (IsNew && !Lease_.empty())
    Share.setLease(LeaseStart_, LeaseEnd_, Now);
  Share.setLimits(RatePerSecond, Burst, Now);
  Share.setFloor(oldLoansEnded(Now) ? Floor_ : 0, Now);
  return Share;
}

QuotaShare *QuotaLeaseHolder::find(const std::string &Customer) {
  auto Found = Entries_.find(Customer);
  return Found == Entries_.end() ? nullptr : &Found->second.Share_;
}

void QuotaLeaseHolder::observeRow(const std::string &Customer,
                                  const QuotaAllocations &Row,
                                  std::uint64_t Version, TimePoint Now) {
  expire(Now);
  Entry &State = Entries_.at(Customer);
  auto Own = Row.ByLease_.find(Lease_);
  double Part =
      Lease_.empty() || Own == Row.ByLease_.end() ? 0 : Own->second.Part_;
  if (!State.Pending_) {
    State.Share_.setPart(Part, Now);
    return;
  }
  const QuotaEdit &Edit = *State.Pending_;
  // The edit may still be applied as long as the row has the version it checks.
  if (Version == Edit.Version_)
    return;
  bool IsApplied =
      Own != Row.ByLease_.end() && Own->second.EditNumber_ == Edit.Number_;
  double IssuedPart = IsApplied ? Edit.IssuedPart_ : 0;
  State.Pending_.reset();
  State.Share_.setPart(Part, Now);
  State.Share_.creditBurst(IssuedPart, Now);
}

std::optional<QuotaEdit>
QuotaLeaseHolder::planEdit(const std::string &Customer, QuotaAllocations Row,
                           std::uint64_t Version,
                           const std::set<std::string> &LiveLeases,
                           double Demand, double Reserve, TimePoint Now) {
  expire(Now);
  if (Lease_.empty() || !LiveLeases.contains(Lease_))
    return std::nullopt;
  Entry &State = Entries_.at(Customer);
  bool HasDropped = Row.dropEnded(LiveLeases);
  QuotaEdit Edit;
  Edit.Customer_ = Customer;
  Edit.Lease_ = Lease_;
  Edit.Number_ = NextEdit_++;
  Edit.Version_ = Version;
  bool IsCreation = Version == 0;
  if (IsCreation)
    Row.UnissuedPart_ = 1 - Reserve;
  auto Own = Row.ByLease_.find(Lease_);
  double RecordedDemand = 0;
  if (Own != Row.ByLease_.end()) {
    Edit.OldPart_ = Own->second.Part_;
    RecordedDemand = Own->second.Demand_;
  }
  Edit.NewPart_ = nextQuotaPart(Row, Lease_, Demand, Reserve);
  // Half of the burst is left for VMs that join later, so that their part has
  // tokens too.
  if (IsCreation)
    Edit.NewPart_ = std::min(Edit.NewPart_, Row.UnissuedPart_ / 2);
  // The part that covers outstanding loans is still in use and cannot be given
  // up yet.
  double Lent = State.Share_.lentPart(Now);
  if (Edit.NewPart_ < Edit.OldPart_)
    Edit.NewPart_ = std::min(Edit.OldPart_, std::max(Edit.NewPart_, Lent));
  if (Edit.NewPart_ < MinPart && Lent <= 0)
    Edit.NewPart_ = 0;
  bool IsRemoved = Edit.NewPart_ <= 0 && Demand < MinDemand;
  if (IsRemoved && Own == Row.ByLease_.end())
    return std::nullopt;
  auto Differs = [](double Old, double New) {
    return std::abs(New - Old) > MinRelativeChange * std::max(Old, New);
  };
  bool IsPending = State.Pending_.has_value();
  if (!HasDropped && !IsPending && !IsCreation &&
      !Differs(Edit.OldPart_, Edit.NewPart_) &&
      !Differs(RecordedDemand, Demand))
    return std::nullopt;
  Edit.IssuedPart_ =
      std::min(Row.UnissuedPart_, std::max(0.0, Edit.NewPart_ - Edit.OldPart_));
  Row.UnissuedPart_ -= Edit.IssuedPart_;
  if (IsRemoved)
    Row.ByLease_.erase(Lease_);
  else
    Row.ByLease_[Lease_] = {Edit.NewPart_, Demand, Edit.Number_, Vm_,
                            DataCentre_};
  Edit.Row_ = std::move(Row);
  checkInvariant(Edit.Row_.total() + Edit.Row_.UnissuedPart_ <=
                     1 - Reserve + PartTolerance,
                 "an edit allocates more than the whole quota");
  double Usable = std::min(State.Share_.part(), Edit.NewPart_);
  State.Share_.setPart(Usable, Now);
  if (!IsPending)
    State.Pending_ = Edit;
  return Edit;
}

void QuotaLeaseHolder::finishEdit(const QuotaEdit &Edit, QuotaEditResult Result,
                                  TimePoint Now) {
  expire(Now);
  Entry &State = Entries_.at(Edit.Customer_);
  // The lease, and with it all parts held under it, was lost in the meantime.
  if (!State.Pending_ || Edit.Lease_ != Lease_)
    return;
  if (Result == QuotaEditResult::NotSent &&
      State.Pending_->Number_ == Edit.Number_)
    State.Pending_.reset();
  // In the other cases the next read of a higher version shows whether the edit
  // took effect; until then the smaller of the two parts is used.
  if (Result != QuotaEditResult::Committed)
    return;
  State.Pending_.reset();
  State.Share_.setPart(Edit.NewPart_, Now);
  State.Share_.creditBurst(Edit.IssuedPart_, Now);
}

} // namespace anvil
