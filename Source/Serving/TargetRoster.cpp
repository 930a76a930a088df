#include "Serving/TargetRoster.h"

#include "Kernel/EnumNames.h"

#include <set>

namespace anvil {

/// How long an unlisted target is remembered, in case an old entry of it is
/// listed again.
static constexpr Duration GoneMemory = std::chrono::seconds(30);

std::string_view targetStandingName(TargetStanding Standing) {
  return enumName(Standing, TargetStandingNames);
}

std::vector<RosterChange>
TargetRoster::applyList(std::vector<RegisteredTarget> Listed, TimePoint Now) {
  if (std::exchange(Away_, false))
    LapseUntil_ = Now + Options_.LapseGrace_;
  ReadAt_ = Now;
  std::vector<RosterChange> Changes;
  std::set<std::string> Present;
  for (RegisteredTarget &Entry : Listed) {
    Present.insert(Entry.Id_);
    auto [Place, IsNew] = Targets_.try_emplace(Entry.Id_);
    ListedTarget &Known = Place->second;
    bool IsReborn = !IsNew && Known.Entry_.Incarnation_ != Entry.Incarnation_;
    // The list may still show an entry written before the restart.
    if (IsReborn && Entry.Incarnation_ < Known.Entry_.Incarnation_)
      continue;
    TargetStanding Standing = Entry.State_ == TargetState::Draining
                                  ? TargetStanding::Draining
                                  : TargetStanding::Usable;
    bool Leaves = Standing == TargetStanding::Draining ||
                  (!IsNew && !IsReborn && Known.Leaves_);
    if (Leaves)
      Standing = TargetStanding::Draining;
    if (IsNew || IsReborn || Known.Standing_ != Standing)
      Changes.push_back({Entry.Id_, Standing, IsNew || IsReborn});
    auto RebornAt = IsReborn ? std::optional(Now) : Known.RebornAt_;
    Known = {std::move(Entry), Standing, Now, RebornAt, Leaves};
  }
  for (auto Place = Targets_.begin(); Place != Targets_.end();) {
    ListedTarget &Known = Place->second;
    if (Present.contains(Place->first)) {
      ++Place;
      continue;
    }
    if (Known.SeenAt_ + GoneMemory < Now) {
      Place = Targets_.erase(Place);
      continue;
    }
    TargetStanding Standing = TargetStanding::Gone;
    bool MayHaveLapsed =
        Now < LapseUntil_ && (Known.Standing_ == TargetStanding::Usable ||
                              Known.Standing_ == TargetStanding::Lapsed);
    if (MayHaveLapsed)
      Standing = TargetStanding::Lapsed;
    if (Known.Standing_ != Standing)
      Changes.push_back({Place->first, Standing, false});
    Known.Standing_ = Standing;
    ++Place;
  }
  return Changes;
}

bool TargetRoster::noteLeaving(const std::string &Id,
                               std::int64_t Incarnation) {
  auto Found = Targets_.find(Id);
  if (Found == Targets_.end() ||
      Found->second.Entry_.Incarnation_ != Incarnation)
    return false;
  ListedTarget &Known = Found->second;
  Known.Leaves_ = true;
  if (Known.Standing_ == TargetStanding::Draining ||
      Known.Standing_ == TargetStanding::Gone)
    return false;
  Known.Standing_ = TargetStanding::Draining;
  return true;
}

const ListedTarget *TargetRoster::find(const std::string &Id) const {
  auto Found = Targets_.find(Id);
  return Found == Targets_.end() ? nullptr : &Found->second;
}

std::vector<const ListedTarget *>
TargetRoster::usable(const std::string &Service) const {
  std::vector<const ListedTarget *> Found;
  for (const auto &[Id, Known] : Targets_) {
    bool MayServe = Known.Standing_ == TargetStanding::Usable ||
                    Known.Standing_ == TargetStanding::Lapsed;
    if (MayServe && Known.Entry_.Service_ == Service)
      Found.push_back(&Known);
  }
  return Found;
}

std::optional<Duration> TargetRoster::age(TimePoint Now) const {
  if (!ReadAt_)
    return std::nullopt;
  return Now - *ReadAt_;
}

} // namespace anvil
