#include "Routing/PartQuarantine.h"

#include "Kernel/EraseLowest.h"

#include <algorithm>

namespace anvil {

/// The maximum number of turns; VMs of a larger fleet share turns.
static constexpr std::size_t MaxTurns = 16;

void PartQuarantine::insert(PartId Part, TimePoint EvidenceFrom,
                            TimePoint Until, bool IsInDoubt, TimePoint Now) {
  makeRoomFor(Part, Entries_, Options_.MaxParts_, &Entry::Until_);
  Entry &Added = Entries_[Part];
  Added = {};
  Added.EvidenceFrom_ = EvidenceFrom;
  Added.Until_ = Until;
  Added.IsInDoubt_ = IsInDoubt;
  Added.NextTrialAt_ = Now + Options_.FirstTrialAfter_;
  Added.TrialPause_ = Options_.NextTrialAfter_;
}

void PartQuarantine::add(PartId Part, TimePoint EvidenceFrom, bool IsInDoubt,
                         TimePoint Now) {
  insert(Part, EvidenceFrom, Now + Options_.QuarantineTime_, IsInDoubt, Now);
}

bool PartQuarantine::adopt(PartId Part, const PartQuarantineReport &Report,
                           TimePoint Now) {
  if (contains(Part, Now)) {
    Entries_[Part].IsInDoubt_ &= Report.IsInDoubt_;
    return false;
  }
  if (Report.Remaining_ <= Duration::zero())
    return false;
  Duration Remaining = std::min(Report.Remaining_, Options_.QuarantineTime_);
  insert(Part, Now - Report.EvidenceAge_, Now + Remaining, Report.IsInDoubt_,
         Now);
  return true;
}

bool PartQuarantine::isOwnTurn(std::int64_t Turn) const {
  auto Turns =
      static_cast<std::int64_t>(std::clamp(Vms_, std::size_t{1}, MaxTurns));
  return static_cast<std::int64_t>(Rank_) % Turns == Turn % Turns;
}

bool PartQuarantine::mayTry(PartId Part, TimePoint Now) const {
  auto Found = Entries_.find(Part);
  if (Found == Entries_.end() || !Found->second.IsInDoubt_ ||
      Now < Found->second.NextTrialAt_)
    return false;
  bool WasTried = Found->second.TriedAt_ != TimePoint{} &&
                  Now < Found->second.TriedAt_ + Options_.TurnTime_;
  return !WasTried &&
         isOwnTurn((Now - Found->second.NextTrialAt_) / Options_.TurnTime_);
}

void PartQuarantine::recordTrial(PartId Part, TimePoint Now) {
  auto Found = Entries_.find(Part);
  if (Found != Entries_.end())
    Found->second.TriedAt_ = Now;
}

void PartQuarantine::recordCrash(PartId Part, TimePoint NoticedAt) {
  auto Found = Entries_.find(Part);
  // Crashes from before the first trial already led to the quarantine.
  if (Found == Entries_.end() || NoticedAt < Found->second.NextTrialAt_)
    return;
  Found->second.NextTrialAt_ = NoticedAt + Found->second.TrialPause_;
  Found->second.TrialPause_ *= Options_.TrialPauseFactor_;
}

bool PartQuarantine::contains(PartId Part, TimePoint Now) const {
  auto Found = Entries_.find(Part);
  return Found != Entries_.end() && Found->second.Until_ > Now;
}

bool PartQuarantine::isCertain(PartId Part, TimePoint Now) const {
  return contains(Part, Now) && !Entries_.at(Part).IsInDoubt_;
}

bool PartQuarantine::isOnProbation(PartId Part, TimePoint Now) const {
  return Entries_.contains(Part) && !contains(Part, Now);
}

bool PartQuarantine::liftIfSound(PartId Part, TimePoint SentAt) {
  auto Found = Entries_.find(Part);
  if (Found == Entries_.end() || SentAt <= Found->second.EvidenceFrom_)
    return false;
  Entries_.erase(Found);
  return true;
}

std::size_t PartQuarantine::count(TimePoint Now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Entries_, [&](const auto &Item) { return Item.second.Until_ > Now; }));
}

std::map<PartId, PartQuarantineReport>
PartQuarantine::report(TimePoint Now) const {
  std::map<PartId, PartQuarantineReport> Quarantined;
  for (const auto &[Part, Known] : Entries_)
    if (Known.Until_ > Now)
      Quarantined[Part] = {Known.Until_ - Now, Now - Known.EvidenceFrom_,
                           Known.IsInDoubt_};
  return Quarantined;
}

void PartQuarantine::expire(TimePoint Now) {
  std::erase_if(Entries_, [&](const auto &Item) {
    return Item.second.Until_ + Options_.ProbationTime_ <= Now;
  });
}

} // namespace anvil
