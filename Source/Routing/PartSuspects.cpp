#include "Routing/PartSuspects.h"

#include "Kernel/EraseLowest.h"

#include <algorithm>

namespace anvil {

PartSuspects::Crash &PartSuspects::crashOf(const TargetInstance &Crashed,
                                           TimePoint NoticedAt) {
  makeRoomFor(Crashed, Crashes_, Options_.MaxCrashes_, &Crash::NoticedAt_);
  auto [Found, IsNew] =
      Crashes_.try_emplace(Crashed, Crash{NoticedAt, std::nullopt, false, {}});
  Found->second.NoticedAt_ = std::min(Found->second.NoticedAt_, NoticedAt);
  return Found->second;
}

PartSuspects::Suspect &PartSuspects::suspectOf(PartId Part, TimePoint Now) {
  makeRoomFor(Part, Suspects_, Options_.MaxParts_, &Suspect::LastAt_);
  Suspect &Known = Suspects_[Part];
  Known.LastAt_ = Now;
  return Known;
}

void PartSuspects::addCrash(const TargetInstance &Crashed,
                            const std::map<PartId, bool> &Parts,
                            TimePoint NoticedAt, TimePoint Now) {
  Crash &Known = crashOf(Crashed, NoticedAt);
  for (const auto &[Part, WasSound] : Parts) {
    bool IsNew = Known.Parts_.size() < Options_.MaxPartsPerCrash_ &&
                 Known.Parts_.emplace(Part, WasSound).second;
    if (IsNew && !Known.ExplainedBy_)
      suspect(Part, Crashed, Known.NoticedAt_, WasSound, Now);
  }
}

void PartSuspects::suspect(PartId Part, const TargetInstance &Crashed,
                           TimePoint NoticedAt, bool WasSound, TimePoint Now) {
  Suspect &Found = suspectOf(Part, Now);
  bool IsFirst = Found.Crashes_.empty();
  Found.Crashes_[Crashed] = NoticedAt;
  Found.FirstAt_ = IsFirst ? NoticedAt : std::min(Found.FirstAt_, NoticedAt);
  Found.WasSound_ |= WasSound;
}

void PartSuspects::addExplained(const TargetInstance &Crashed, PartId Part,
                                TimePoint NoticedAt) {
  crashOf(Crashed, NoticedAt).ExplainedBy_ = Part;
  for (auto &[Other, Known] : Suspects_)
    Known.Crashes_.erase(Crashed);
  removeUnburdened();
}

void PartSuspects::withdrawExplanations(PartId Part,
                                        const WorkedSinceHook &WorkedSince,
                                        TimePoint Now) {
  for (auto &[Crashed, Known] : Crashes_) {
    if (Known.ExplainedBy_ != Part)
      continue;
    Known.ExplainedBy_.reset();
    for (const auto &[Other, WasSound] : Known.Parts_)
      if (Other != Part && !WorkedSince(Other, Known.NoticedAt_))
        suspect(Other, Crashed, Known.NoticedAt_, WasSound, Now);
  }
}

std::optional<TimePoint> PartSuspects::firstCrashAt(PartId Part) const {
  auto Found = Suspects_.find(Part);
  if (Found == Suspects_.end())
    return std::nullopt;
  return Found->second.FirstAt_;
}

void PartSuspects::removeQuarantined(PartId Part, bool IsInDoubt) {
  auto Found = Suspects_.find(Part);
  if (Found == Suspects_.end())
    return;
  auto Crashes = std::move(Found->second.Crashes_);
  Suspects_.erase(Found);
  for (const auto &[Crashed, NoticedAt] : Crashes)
    if (IsInDoubt)
      crashOf(Crashed, NoticedAt).IsInDoubt_ = true;
    else
      addExplained(Crashed, Part, NoticedAt);
}

bool PartSuspects::isInDoubt(const Suspect &Of) const {
  return std::ranges::any_of(Of.Crashes_, [&](const auto &Item) {
    auto Found = Crashes_.find(Item.first);
    return Found != Crashes_.end() && Found->second.IsInDoubt_;
  });
}

std::size_t PartSuspects::countCrashes(const Suspect &Of) const {
  std::vector<TimePoint> Times;
  for (const auto &[Crashed, NoticedAt] : Of.Crashes_)
    Times.push_back(NoticedAt);
  std::ranges::sort(Times);
  std::size_t Count = 0;
  TimePoint Last{};
  for (TimePoint At : Times)
    if (Count == 0 || At >= Last + Options_.Spacing_) {
      ++Count;
      Last = At;
    }
  return Count;
}

std::vector<PartSuspects::Conviction>
PartSuspects::convictable(TimePoint Now) const {
  using Counted = std::pair<std::size_t, PartId>;
  std::vector<Counted> New;
  std::vector<Counted> Known;
  for (const auto &[Part, Entry] : Suspects_)
    (Entry.WasSound_ ? Known : New).emplace_back(countCrashes(Entry), Part);
  std::ranges::sort(New, std::greater());
  std::ranges::sort(Known, std::greater());
  // A part that may explain most of the crashes comes before all that are known
  // to have worked.
  std::size_t MostKnown = Known.empty() ? 0 : Known.front().first;
  bool IsNew = !New.empty() && New.front().first >= Options_.MinCrashes_ &&
               2 * New.front().first >= MostKnown;
  const std::vector<Counted> &Ranked = IsNew ? New : Known;
  std::size_t Most = Ranked.empty() ? 0 : Ranked.front().first;
  if (Most < Options_.MinCrashes_)
    return {};
  std::size_t Next = Ranked.size() > 1 ? Ranked[1].first : 0;
  bool IsClear = Most >= Next + Options_.ClearLead_ &&
                 !isInDoubt(Suspects_.at(Ranked.front().second));
  // Where parts that are known to work were at the crashes too, more of those
  // that work are known, and the rest needs less time to prove itself.
  bool IsWarm = MostKnown > 0 && 2 * MostKnown >= Most;
  Duration Settle = Options_.KnownSettleTime_;
  if (IsNew)
    Settle =
        IsClear && IsWarm ? Options_.ClearSettleTime_ : Options_.SettleTime_;
  std::vector<Conviction> Found;
  for (const auto &[Crashes, Part] : Ranked) {
    const Suspect &Entry = Suspects_.at(Part);
    if (Crashes == Most && Entry.FirstAt_ + Settle <= Now)
      Found.push_back(
          {Part, Entry.FirstAt_, Entry.Crashes_.size(), !IsNew || !IsClear});
  }
  return Found;
}

std::vector<PartSuspects::Conviction> PartSuspects::convict(TimePoint Now) {
  std::vector<Conviction> Convicted;
  for (auto Found = convictable(Now); !Found.empty();
       Found = convictable(Now)) {
    for (const Conviction &Entry : Found)
      removeQuarantined(Entry.Part_, Entry.IsInDoubt_);
    Convicted.insert(Convicted.end(), Found.begin(), Found.end());
  }
  return Convicted;
}

void PartSuspects::expire(TimePoint Now) {
  TimePoint Oldest = Now - Options_.Retention_;
  std::erase_if(Crashes_, [&](const auto &Entry) {
    return Entry.second.NoticedAt_ < Oldest;
  });
  for (auto &[Part, Known] : Suspects_)
    std::erase_if(Known.Crashes_,
                  [&](const auto &Item) { return Item.second < Oldest; });
  removeUnburdened();
}

void PartSuspects::removeUnburdened() {
  std::erase_if(Suspects_, [](const auto &Entry) {
    return Entry.second.Crashes_.empty();
  });
}

} // namespace anvil
