#include "Placement/OwnerLease.h"

#include "Membership/Rendezvous.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace anvil {

using nlohmann::json;

/// Claims whose answers may still come.
static constexpr std::size_t MostOpenClaims = 16;

const LeaseHolder *LeaseRow::find(const std::string &Vm) const {
  for (const LeaseHolder &Known : Holders_)
    if (Known.Vm_ == Vm)
      return &Known;
  return nullptr;
}

const LeaseHolder *LeaseRow::ownerOf(const std::string &Target) const {
  const LeaseHolder *Best = nullptr;
  std::uint64_t BestScore = 0;
  for (const LeaseHolder &Known : Holders_) {
    std::uint64_t Score = rendezvousScore(Target, Known.Vm_);
    if (Best && Score <= BestScore)
      continue;
    Best = &Known;
    BestScore = Score;
  }
  return Best;
}

std::string encodeLeaseRow(const LeaseRow &Row) {
  json Holders = json::array();
  for (const LeaseHolder &Known : Row.Holders_)
    Holders.push_back({{"vm", Known.Vm_},
                       {"incarnation", Known.Incarnation_},
                       {"claim", Known.Claim_},
                       {"adopted", Known.Adopted_}});
  return json{{"generation", Row.Generation_}, {"holders", Holders}}.dump();
}

std::optional<LeaseRow> decodeLeaseRow(const std::string &Text) {
  try {
    json Source = json::parse(Text);
    LeaseRow Row;
    Source.at("generation").get_to(Row.Generation_);
    for (const json &Item : Source.at("holders")) {
      LeaseHolder &Known = Row.Holders_.emplace_back();
      Item.at("vm").get_to(Known.Vm_);
      Item.at("incarnation").get_to(Known.Incarnation_);
      Item.at("claim").get_to(Known.Claim_);
      Item.at("adopted").get_to(Known.Adopted_);
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

bool OwnerLease::isSelf(const LeaseHolder *Known) const {
  return Known && Known->Vm_ == Vm_ && Known->Incarnation_ == Incarnation_;
}

LeaseClaim OwnerLease::claim(TimePoint Now) {
  ClaimsSent_[++LastClaim_] = Now;
  if (ClaimsSent_.size() > MostOpenClaims)
    ClaimsSent_.erase(ClaimsSent_.begin());
  return {Vm_, Incarnation_, LastClaim_, Row_.Generation_};
}

void OwnerLease::observe(const LeaseRow &Row, TimePoint Now) {
  for (const LeaseHolder &Known : Row.Holders_) {
    Observed &Entry = Observed_[Known.Vm_];
    if (Entry.Seen_ == Known)
      continue;
    Entry.Seen_ = Known;
    Entry.Since_ = Now;
  }
}

bool OwnerLease::isLapsed(const LeaseHolder &Known, TimePoint Now) const {
  auto Found = Observed_.find(Known.Vm_);
  return Found != Observed_.end() && Found->second.Seen_ == Known &&
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
        [&](const LeaseHolder &Known) { return Known.Vm_ == Claim.Vm_; });
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
  // A holder that renewed in this very write differs from what was observed.
  auto IsLapsed = [&](const LeaseHolder &Known) {
    return isLapsed(Known, Now);
  };
  HolderChanged |= std::erase_if(Next.Holders_, IsLapsed) > 0;
  Next.Generation_ += HolderChanged;
  return Next;
}

LeaseRow OwnerLease::withoutSelf(const LeaseRow &Current) const {
  LeaseRow Next = Current;
  auto Left = std::erase_if(Next.Holders_, [this](const LeaseHolder &Known) {
    return isSelf(&Known);
  });
  Next.Generation_ += Left > 0;
  return Next;
}

void OwnerLease::learnLease(const LeaseRow &Row) {
  const LeaseHolder *Self = Row.find(Vm_);
  if (!isSelf(Self)) {
    LeaseEnd_.reset();
    return;
  }
  // The lease counts from when that claim left, not from when it was written.
  auto Sent = ClaimsSent_.find(Self->Claim_);
  if (Sent == ClaimsSent_.end())
    return;
  LeaseEnd_ = Sent->second + Terms_.Term_;
  ClaimsSent_.erase(ClaimsSent_.begin(), Sent);
}

void OwnerLease::adopt(const LeaseRow &Row, std::uint64_t Version,
                       TimePoint Now) {
  // A generation that went back would mean that the table lost the row.
  if (Version < RowVersion_ || Row.Generation_ < Row_.Generation_)
    return;
  if (RowVersion_ == 0)
    FirstSeenAt_ = Now;
  RowVersion_ = Version;
  observe(Row, Now);
  if (Row.Generation_ != Row_.Generation_) {
    bool IsNext = Row.Generation_ == Row_.Generation_ + 1;
    Changes_.push_back({Row_, Row, Now, IsNext});
    Duration LongestWait = Terms_.Term_ + Terms_.Margin_ + Terms_.LongestOrder_;
    std::erase_if(Changes_, [&](const Change &Seen) {
      return Now - Seen.SeenAt_ > LongestWait;
    });
  }
  Row_ = Row;
  learnLease(Row);
}

void OwnerLease::yielded(const std::string &From,
                         const std::string &Incarnation,
                         const std::vector<std::string> &Targets,
                         std::uint64_t Generation) {
  for (const std::string &Target : Targets)
    Yielded_[From + "/" + Incarnation + "/" + Target] = Generation;
}

TimePoint OwnerLease::waitAfter(const Change &Seen, const std::string &Target,
                                bool ChecksFencing) const {
  Duration Orders = ChecksFencing ? Duration{0} : Terms_.LongestOrder_;
  TimePoint Longest = Seen.SeenAt_ + Terms_.Term_ + Terms_.Margin_ + Orders;
  if (Seen.After_.Generation_ == 1)
    return Seen.SeenAt_;
  if (!Seen.IsNext_)
    return Longest;
  const LeaseHolder *Last = Seen.Before_.ownerOf(Target);
  if (!Last)
    return Seen.SeenAt_ + Orders;
  auto Said =
      Yielded_.find(Last->Vm_ + "/" + Last->Incarnation_ + "/" + Target);
  if (Said != Yielded_.end() && Said->second >= Seen.After_.Generation_)
    return Seen.SeenAt_;
  const LeaseHolder *Still = Seen.After_.find(Last->Vm_);
  // It left, or its lease had lapsed when it was removed.
  if (!Still)
    return Seen.SeenAt_ + Orders;
  const LeaseHolder *Newest = Row_.find(Last->Vm_);
  bool HasAdopted = Newest && Newest->Incarnation_ == Last->Incarnation_ &&
                    Newest->Adopted_ >= Seen.After_.Generation_;
  // Orders that it gave before it adopted the change may be in flight still,
  // which only a fencing number stops.
  return HasAdopted && ChecksFencing ? Seen.SeenAt_ : Longest;
}

TimePoint OwnerLease::readyAt(const std::string &Target,
                              bool ChecksFencing) const {
  // An owner between may never have got ready itself, so every change of the
  // recent past counts, not only the last.
  TimePoint Ready = TimePoint::min();
  for (const Change &Seen : Changes_) {
    const LeaseHolder *Before = Seen.Before_.ownerOf(Target);
    const LeaseHolder *After = Seen.After_.ownerOf(Target);
    bool IsSame = Seen.IsNext_ && Before && After &&
                  Before->Vm_ == After->Vm_ &&
                  Before->Incarnation_ == After->Incarnation_;
    if (!IsSame)
      Ready = std::max(Ready, waitAfter(Seen, Target, ChecksFencing));
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
  // Claims from before must not bring the lease back.
  ClaimsSent_.clear();
}

bool OwnerLease::mayJoin(TimePoint Now) const {
  if (RowVersion_ == 0 || isSelf(Row_.find(Vm_)) || Row_.Holders_.empty())
    return true;
  return Now - FirstSeenAt_ > Terms_.Term_ + Terms_.Margin_;
}

bool OwnerLease::owns(const std::string &Target) const {
  return isSelf(Row_.ownerOf(Target));
}

std::string OwnerLease::successorOf(const std::string &Target) const {
  LeaseRow Others = withoutSelf(Row_);
  const LeaseHolder *Known = Others.ownerOf(Target);
  return Known ? Known->Vm_ : "";
}

std::string OwnerLease::ownerOf(const std::string &Target) const {
  const LeaseHolder *Known = Row_.ownerOf(Target);
  return Known ? Known->Vm_ : "";
}

} // namespace anvil
