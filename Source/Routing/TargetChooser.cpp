#include "Routing/TargetChooser.h"

#include "Membership/Rendezvous.h"

#include <algorithm>

namespace anvil {

/// The cost of a target that is ejected or unreachable: it ranks after all
/// others, but is still used when there is no other.
static constexpr double UnavailableCost = 1000;

std::uint64_t TargetChooser::prefixKey(const RequestContext &Request) {
  return Request.PrefixHash_ ^ stableHash(Request.Adapter_.text());
}

TargetChooser::Candidate
TargetChooser::score(const TargetEntry &Entry, const RequestContext &Request,
                     const ChoiceInputs &Inputs) const {
  Candidate Scored;
  Scored.Entry_ = &Entry;
  const TargetReport *Report = Inputs.Directory_.find(Entry.Name_);
  double Load = Inputs.Load_.estimate(Entry.Name_, Report, Inputs.Now_);
  Scored.Cost_ =
      Load / static_cast<double>(std::max<std::int64_t>(Entry.Slots_, 1));
  bool NeedsAdapter = !Request.Adapter_.empty();
  Scored.Resident_ =
      !NeedsAdapter ||
      (Report && Report->Resident_.count(Request.Adapter_.text()) > 0);
  if (!Scored.Resident_) {
    Scored.Cost_ += Options_.ColdCost_;
    bool IsFull =
        Report && std::ssize(Report->Resident_) >= Entry.AdapterSlots_;
    if (IsFull)
      Scored.Cost_ += Options_.FullCost_;
  }
  auto State = Inputs.Ejector_.state(Entry.Name_, Inputs.Now_);
  Scored.Healthy_ =
      State == EjectionState::Serving && (!Report || Report->Reachable_);
  // A request that may not be repeated can't be a probe.
  bool IsProbe = State == EjectionState::MayProbe && Request.Repeatable_;
  bool IsEjected = State != EjectionState::Serving && !IsProbe;
  if (IsEjected || (Report && !Report->Reachable_))
    Scored.Cost_ += UnavailableCost;
  if (IsProbe)
    Scored.Cost_ -= Options_.ProbeBonus_;
  if (Entry.DataCentre_ != DataCentre_)
    Scored.Cost_ += Options_.RemoteCost_;
  return Scored;
}

void TargetChooser::addCandidates(std::vector<Candidate> &Scored,
                                  const std::vector<TargetEntry> &Entries,
                                  const RequestContext &Request,
                                  const ChoiceInputs &Inputs) const {
  std::vector<Candidate> Added;
  for (const TargetEntry &Entry : Entries)
    if (!Inputs.Excluded_.count(Entry.Name_))
      Added.push_back(score(Entry, Request, Inputs));
  // A suspect is ordered by its own digest, so that it rarely shares a target
  // again with the requests that ran beside it when a target crashed.
  std::string Key = Inputs.Suspect_ ? Request.Digest_ : Request.Adapter_.text();
  for (Candidate &Each : Added)
    Each.RendezvousScore_ = rendezvousScore(Key, Each.Entry_->Name_);
  std::ranges::sort(Added, std::greater<>(), &Candidate::RendezvousScore_);
  double Rank = 0;
  for (Candidate &Each : Added)
    if (!Each.Resident_ || Inputs.Suspect_)
      Each.Cost_ += Options_.RankCost_ * Rank++;
  preferWarmPrefix(Added, Request, Inputs);
  Scored.insert(Scored.end(), Added.begin(), Added.end());
}

void TargetChooser::preferWarmPrefix(std::vector<Candidate> &Added,
                                     const RequestContext &Request,
                                     const ChoiceInputs &Inputs) const {
  if (Request.Adapter_.empty() || Inputs.Suspect_)
    return;
  std::uint64_t Prefix = prefixKey(Request);
  const std::string *Warm = Inputs.Prefixes_.find(Prefix);
  std::string Key = std::to_string(Prefix);
  Candidate *First = nullptr;
  std::uint64_t HighestScore = 0;
  for (Candidate &Each : Added) {
    if (!Each.Resident_)
      continue;
    if (Warm && *Warm == Each.Entry_->Name_)
      Each.Cost_ -= Options_.WarmPrefixBonus_;
    std::uint64_t Score = rendezvousScore(Key, Each.Entry_->Name_);
    if (!First || Score > HighestScore) {
      First = &Each;
      HighestScore = Score;
    }
  }
  // The rendezvous order is the same on all VMs, while their prefix caches
  // differ.
  if (First && !Warm)
    First->Cost_ -= Options_.PrefixRankBonus_;
}

void TargetChooser::spread(std::vector<Candidate> &Scored,
                           std::uint64_t Random) const {
  auto IsEquivalent = [&](const Candidate &Each) {
    const Candidate &Best = Scored.front();
    return Each.Resident_ && Each.Healthy_ &&
           Each.Entry_->DataCentre_ == Best.Entry_->DataCentre_ &&
           Each.Cost_ < Best.Cost_ + Options_.ColdCost_;
  };
  auto Equivalent = static_cast<std::uint64_t>(
      std::ranges::find_if_not(Scored, IsEquivalent) - Scored.begin());
  if (Equivalent < 3)
    return;
  std::uint64_t First = Random % Equivalent;
  std::uint64_t Second = (Random >> 32) % (Equivalent - 1);
  Second += Second >= First;
  auto Chosen = Scored.begin() + static_cast<long>(std::min(First, Second));
  // A warm prefix outweighs an even spread.
  double Margin = Options_.WarmPrefixBonus_;
  if (Chosen->Cost_ < Scored.front().Cost_ + Margin)
    std::rotate(Scored.begin(), Chosen, Chosen + 1);
}

std::vector<std::string> TargetChooser::rank(const RequestContext &Request,
                                             const ChoiceInputs &Inputs) const {
  std::vector<Candidate> Scored;
  auto Local = Inputs.Group_.Members_.find(DataCentre_);
  if (Local != Inputs.Group_.Members_.end())
    addCandidates(Scored, Local->second, Request, Inputs);
  bool HasLocalCapacity =
      std::ranges::any_of(Scored, [&](const Candidate &Each) {
        return Each.Cost_ < Options_.RemoteCost_;
      });
  if (!HasLocalCapacity)
    for (const auto &[DataCentre, Entries] : Inputs.Group_.Members_)
      if (DataCentre != DataCentre_)
        addCandidates(Scored, Entries, Request, Inputs);
  auto End =
      Scored.begin() +
      static_cast<long>(std::min(Scored.size(), Options_.MaxCandidates_));
  std::ranges::partial_sort(Scored, End, {}, &Candidate::Cost_);
  Scored.erase(End, Scored.end());
  if (!Scored.empty() && !Inputs.Suspect_)
    spread(Scored, Inputs.Random_);
  std::vector<std::string> Ranked;
  for (const Candidate &Each : Scored)
    Ranked.push_back(Each.Entry_->Name_);
  return Ranked;
}

} // namespace anvil
