#include "Placement/OwnerLease.h"

#include "Kernel/BoundedJson.h"
#include "Membership/Rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

using nlohmann::json;

/// The number of claims that may wait for their replies.
static constexpr std::size_t MaxOpenClaims = 16;

const LeaseHolder *LeaseRow::find(const std::string &Vm) const {
  for (const LeaseHolder &Holder : Holders_)
    if (Holder.Vm_ == Vm)
      return &Holder;
  return nullptr;
}

const LeaseHolder *LeaseRow::ownerOf(const std::string &Target) const {
  const LeaseHolder *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const LeaseHolder &Holder : Holders_) {
    std::uint64_t Score = rendezvousScore(Target, Holder.Vm_);
    if (Best && Score <= BestScore)
      continue;
    Best = &Holder;
    BestScore = Score;
  }
  return Best;
}

std::string encodeLeaseRow(const LeaseRow &Row) {
  json Holders = json::array();
  for (const LeaseHolder &Holder : Row.Holders_)
    Holders.push_back({{"vm", Holder.Vm_},
                       {"incarnation", Holder.Incarnation_},
                       {"claim", Holder.Claim_},
                       {"adopted", Holder.Adopted_}});
  return json{{"generation", Row.Generation_}, {"holders", Holders}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

std::optional<LeaseRow> decodeLeaseRow(const std::string &Text) {
  json Source = parseOrDiscard(Text);
  if (Source.is_discarded())
    return std::nullopt;
  try {
    LeaseRow Row;
    Source.at("generation").get_to(Row.Generation_);
    for (const json &Item : Source.at("holders")) {
      LeaseHolder &Holder = Row.Holders_.emplace_back();
      Item.at("vm").get_to(Holder.Vm_);
      Item.at("incarnation").get_to(Holder.Incarnation_);
      Item.at("claim").get_to(Holder.Claim_);
      Item.at("adopted").get_to(Holder.Adopted_);
    }
    return Row;
  } catch (const json::exception &) {
    // The library reports every fault of its input by throwing.
    return std::nullopt;
  }
}

OwnerLease::OwnerLease(LeaseTerms Terms, std::string Vm,
                       std::string Incarnation)
    : Terms_(Terms), Vm_(std::move(Vm)), Incarnation_(std::move(Incarnation)) {}

bool OwnerLease::isSelf(const LeaseHolder *Holder) const {
  return Holder && Holder->Vm_ == Vm_ && Holder->Incarnation_ == Incarnation_;
}

LeaseClaim OwnerLease::claim(TimePoint Now) {
  ClaimsSent_[++LastClaim_] = Now;
  if (ClaimsSent_.size() > MaxOpenClaims)
    ClaimsSent_.erase(ClaimsSent_.begin());
  return {Vm_, Incarnation_, LastClaim_, Row_.Generation_};
}

void OwnerLease::observe(const LeaseRow &Row, TimePoint Now) {
  for (const LeaseHolder &Holder : Row.Holders_) {
    Observed &Entry = Observed_[Holder.Vm_];
    if (Entry.Holder_ == Holder)
      continue;
    Entry.Holder_ = Holder;
    Entry.Since_ = Now;
  }
}

bool OwnerLease::isExpired(const LeaseHolder &Holder, TimePoint Now) const {
  auto Found = Observed_.find(Holder.Vm_);
  return Found != Observed_.end() && Found->second.Holder_ == Holder &&
         Now - Found->second.Since_ > Terms_.Term_ + Terms_.Margin_;
}

LeaseRow OwnerLease::renewed(const LeaseRow &Current,
                             const std::vector<LeaseClaim> &Claims,
                             TimePoint Now) {
  observe(Current, Now);
  LeaseRow Next = Current;
  bool HolderChanged = false;
  for (const LeaseClaim &Claim : Claims) {
    auto Found = std::find_if(
        Next.Holders_.begin(), Next.Holders_.end(),
        [&](const LeaseHolder &Holder) { return Holder.Vm_ == Claim.Vm_; });
    LeaseHolder Renewed{Claim.Vm_, Claim.Incarnation_, Claim.Number_,
                        Claim.Adopted_};
    if (Found == Next.Holders_.end()) {
      Next.Holders_.push_back(std::move(Renewed));
      HolderChanged = true;
    } else if (Found->Incarnation_ != Claim.Incarnation_) {
      *Found = std::move(Renewed);
      HolderChanged = true;
    } else if (Found->Claim_ < Claim.Number_) {
      *Found = std::move(Renewed);
    }
  }
  // A holder renewed by this write differs from the observed entry, so it does
  // not count as expired.
  auto IsExpired = [&](const LeaseHolder &Holder) {
    return isExpired(Holder, Now);
  };
  HolderChanged |= std::erase_if(Next.Holders_, IsExpired) > 0;
  Next.Generation_ += HolderChanged;
  return Next;
}

LeaseRow OwnerLease::withoutSelf(const LeaseRow &Current) const {
  LeaseRow Next = Current;
  auto Removed =
      std::erase_if(Next.Holders_, [this](const LeaseHolder &Holder) {
        return isSelf(&Holder);
      });
  Next.Generation_ += Removed > 0;
  return Next;
}

void OwnerLease::updateLeaseEnd(const LeaseRow &Row) {
  const LeaseHolder *Self = Row.find(Vm_);
  if (!isSelf(Self)) {
    LeaseEnd_.reset();
    return;
  }
  // The lease counts from when the claim was sent, not from when it was
  // written.
  auto Sent = ClaimsSent_.find(Self->Claim_);
  if (Sent == ClaimsSent_.end())
    return;
  LeaseEnd_ = Sent->second + Terms_.Term_;
  ClaimsSent_.erase(ClaimsSent_.begin(), Sent);
}

void OwnerLease::adopt(const LeaseRow &Row, std::uint64_t Version,
                       TimePoint Now) {
  // A lower generation would mean that the table lost the row.
  if (Version < RowVersion_ || Row.Generation_ < Row_.Generation_)
    return;
  if (RowVersion_ == 0)
    FirstSeenAt_ = Now;
  RowVersion_ = Version;
  observe(Row, Now);
  if (Row.Generation_ != Row_.Generation_) {
    bool IsConsecutive = Row.Generation_ == Row_.Generation_ + 1;
    HolderChanges_.push_back({Row_, Row, Now, IsConsecutive});
    Duration MaxWait = Terms_.Term_ + Terms_.Margin_ + Terms_.MaxOrderTime_;
    std::erase_if(HolderChanges_, [&](const HolderChange &Transition) {
      return Now - Transition.ObservedAt_ > MaxWait;
    });
  }
  Row_ = Row;
  updateLeaseEnd(Row);
}

void OwnerLease::recordHandover(const std::string &From,
                                const std::string &Incarnation,
                                const std::vector<std::string> &Targets,
                                std::uint64_t Generation) {
  for (const std::string &Target : Targets)
    HandedOver_[From + "/" + Incarnation + "/" + Target] = Generation;
}

TimePoint OwnerLease::readyAfter(const HolderChange &Transition,
                                 const std::string &Target,
                                 bool ChecksFencing) const {
  Duration OrderWait = ChecksFencing ? Duration{0} : Terms_.MaxOrderTime_;
  TimePoint LatestReady =
      Transition.ObservedAt_ + Terms_.Term_ + Terms_.Margin_ + OrderWait;
  if (Transition.After_.Generation_ == 1)
    return Transition.ObservedAt_;
  if (!Transition.IsConsecutive_)
    return LatestReady;
  const LeaseHolder *PreviousOwner = Transition.Before_.ownerOf(Target);
  if (!PreviousOwner)
    return Transition.ObservedAt_ + OrderWait;
  auto Handover = HandedOver_.find(PreviousOwner->Vm_ + "/" +
                                   PreviousOwner->Incarnation_ + "/" + Target);
  if (Handover != HandedOver_.end() &&
      Handover->second >= Transition.After_.Generation_)
    return Transition.ObservedAt_;
  const LeaseHolder *Remaining = Transition.After_.find(PreviousOwner->Vm_);
  // The previous owner released its lease, or was removed after it expired.
  if (!Remaining)
    return Transition.ObservedAt_ + OrderWait;
  const LeaseHolder *Latest = Row_.find(PreviousOwner->Vm_);
  bool HasAdopted = Latest &&
                    Latest->Incarnation_ == PreviousOwner->Incarnation_ &&
                    Latest->Adopted_ >= Transition.After_.Generation_;
  // Orders that the previous owner gave before it adopted the change may still
  // be in flight; only a fencing token stops those.
  return HasAdopted && ChecksFencing ? Transition.ObservedAt_ : LatestReady;
}

TimePoint OwnerLease::readyAt(const std::string &Target,
                              bool ChecksFencing) const {
  // An intermediate owner may never have become ready itself, so every recent
  // change counts, not only the last one.
  TimePoint Ready = TimePoint::min();
  for (const HolderChange &Transition : HolderChanges_) {
    const LeaseHolder *Before = Transition.Before_.ownerOf(Target);
    const LeaseHolder *After = Transition.After_.ownerOf(Target);
    bool IsSame = Transition.IsConsecutive_ && Before && After &&
                  Before->Vm_ == After->Vm_ &&
                  Before->Incarnation_ == After->Incarnation_;
    if (!IsSame)
      Ready = std::max(Ready, readyAfter(Transition, Target, ChecksFencing));
  }
  return Ready;
}

bool OwnerLease::mayOrder(const std::string &Target, bool ChecksFencing,
                          TimePoint Now) const {
  return LeaseEnd_ && Now < *LeaseEnd_ - Terms_.Margin_ && owns(Target) &&
         readyAt(Target, ChecksFencing) <= Now;
}

void OwnerLease::stop() {
  LeaseEnd_.reset();
  // Replies to earlier claims must not restore the lease.
  ClaimsSent_.clear();
}

bool OwnerLease::mayClaim(TimePoint Now) const {
  if (RowVersion_ == 0 || isSelf(Row_.find(Vm_)) || Row_.Holders_.empty())
    return true;
  return Now - FirstSeenAt_ > Terms_.Term_ + Terms_.Margin_;
}

bool OwnerLease::owns(const std::string &Target) const {
  return isSelf(Row_.ownerOf(Target));
}

std::string OwnerLease::successorOf(const std::string &Target) const {
  LeaseRow Others = withoutSelf(Row_);
  const LeaseHolder *Holder = Others.ownerOf(Target);
  return Holder ? Holder->Vm_ : "";
}

std::string OwnerLease::ownerOf(const std::string &Target) const {
  const LeaseHolder *Holder = Row_.ownerOf(Target);
  return Holder ? Holder->Vm_ : "";
}

} // namespace anvil
