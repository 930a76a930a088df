#include "Routing/TargetChooser.h"

#include "Membership/Rendezvous.h"

#include <algorithm>

namespace anvil {

/// The cost of a target that is ejected or does not answer: it comes after all
/// others and is still better than none.
static constexpr double BrokenCost = 1000;

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
  // What may not be repeated is no probe.
  bool IsProbe = State == EjectionState::MayProbe && Request.Repeatable_;
  bool IsOut = State != EjectionState::Serving && !IsProbe;
  if (IsOut || (Report && !Report->Reachable_))
    Scored.Cost_ += BrokenCost;
  if (IsProbe)
    Scored.Cost_ -= Options_.ProbeGain_;
  if (Entry.DataCentre_ != DataCentre_)
    Scored.Cost_ += Options_.FarCost_;
  return Scored;
}

void TargetChooser::addPart(std::vector<Candidate> &Scored,
                            const std::vector<TargetEntry> &Entries,
                            const RequestContext &Request,
                            const ChoiceInputs &Inputs) const {
  std::vector<Candidate> Part;
  for (const TargetEntry &Entry : Entries)
    if (!Inputs.Excluded_.count(Entry.Name_))
      Part.push_back(score(Entry, Request, Inputs));
  // A suspect goes by its own digest, so that it rarely meets those again that
  // were beside it when a target crashed.
  std::string Key = Inputs.Suspect_ ? Request.Digest_ : Request.Adapter_.text();
  for (Candidate &Known : Part)
    Known.Order_ = rendezvousScore(Key, Known.Entry_->Name_);
  std::ranges::sort(Part, std::greater<>(), &Candidate::Order_);
  double Place = 0;
  for (Candidate &Known : Part)
    if (!Known.Resident_ || Inputs.Suspect_)
      Known.Cost_ += Options_.OrderCost_ * Place++;
  preferWarm(Part, Request, Inputs);
  Scored.insert(Scored.end(), Part.begin(), Part.end());
}

void TargetChooser::preferWarm(std::vector<Candidate> &Part,
                               const RequestContext &Request,
                               const ChoiceInputs &Inputs) const {
  if (Request.Adapter_.empty() || Inputs.Suspect_)
    return;
  std::uint64_t Prefix = prefixKey(Request);
  const std::string *Warm = Inputs.Prefixes_.find(Prefix);
  std::string Key = std::to_string(Prefix);
  Candidate *First = nullptr;
  std::uint64_t Highest = 0;
  for (Candidate &Known : Part) {
    if (!Known.Resident_)
      continue;
    if (Warm && *Warm == Known.Entry_->Name_)
      Known.Cost_ -= Options_.WarmGain_;
    std::uint64_t Order = rendezvousScore(Key, Known.Entry_->Name_);
    if (!First || Order > Highest) {
      First = &Known;
      Highest = Order;
    }
  }
  // Other VMs, whose memory differs, send it there as well.
  if (First && !Warm)
    First->Cost_ -= Options_.PrefixOrderGain_;
}

void TargetChooser::spread(std::vector<Candidate> &Scored,
                           std::uint64_t Random) const {
  auto IsLikeBest = [&](const Candidate &Known) {
    const Candidate &Best = Scored.front();
    return Known.Resident_ && Known.Healthy_ &&
           Known.Entry_->DataCentre_ == Best.Entry_->DataCentre_ &&
           Known.Cost_ < Best.Cost_ + Options_.ColdCost_;
  };
  auto Like = static_cast<std::uint64_t>(
      std::ranges::find_if_not(Scored, IsLikeBest) - Scored.begin());
  if (Like < 3)
    return;
  std::uint64_t First = Random % Like;
  std::uint64_t Second = (Random >> 32) % (Like - 1);
  Second += Second >= First;
  auto Chosen = Scored.begin() + static_cast<long>(std::min(First, Second));
  // A warm prefix is worth more than an even spread.
  double Margin = Options_.WarmGain_;
  if (Chosen->Cost_ < Scored.front().Cost_ + Margin)
    std::rotate(Scored.begin(), Chosen, Chosen + 1);
}

std::vector<std::string> TargetChooser::rank(const RequestContext &Request,
                                             const ChoiceInputs &Inputs) const {
  std::vector<Candidate> Scored;
  auto Near = Inputs.Group_.Members_.find(DataCentre_);
  if (Near != Inputs.Group_.Members_.end())
    addPart(Scored, Near->second, Request, Inputs);
  bool NearCan = std::ranges::any_of(Scored, [&](const Candidate &Known) {
    return Known.Cost_ < Options_.FarCost_;
  });
  if (!NearCan)
    for (const auto &[DataCentre, Entries] : Inputs.Group_.Members_)
      if (DataCentre != DataCentre_)
        addPart(Scored, Entries, Request, Inputs);
  auto Middle =
      Scored.begin() +
      static_cast<long>(std::min(Scored.size(), Options_.MostCandidates_));
  std::ranges::partial_sort(Scored, Middle, {}, &Candidate::Cost_);
  Scored.erase(Middle, Scored.end());
  if (!Scored.empty() && !Inputs.Suspect_)
    spread(Scored, Inputs.Random_);
  std::vector<std::string> Ranked;
  for (const Candidate &Known : Scored)
    Ranked.push_back(Known.Entry_->Name_);
  return Ranked;
}

} // namespace anvil
