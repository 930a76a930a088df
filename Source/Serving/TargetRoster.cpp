#include "Serving/TargetRoster.h"

#include "Kernel/EnumNames.h"

#include <set>

namespace anvil {

/// How long an unlisted target is remembered, in case an old entry of it is
/// listed again.
static constexpr Duration UnlistedRetention = std::chrono::seconds(30);

std::string_view targetUsabilityName(TargetUsability Usability) {
  return enumName(Usability, TargetUsabilityNames);
}

std::vector<RosterChange>
TargetRoster::applyList(std::vector<RegisteredTarget> Listed, TimePoint Now) {
  bool WasOutage = std::exchange(ListUnavailable_, false) && wasUnknown(Now);
  bool WasRestored = std::exchange(ListRestored_, false);
  if (WasRestored)
    recordRemoved(Now);
  if (WasRestored || WasOutage)
    LapseUntil_ = Now + Options_.LapseGrace_;
  ReadAt_ = Now;
  std::vector<RosterChange> Changes;
  std::set<std::string> Present;
  for (RegisteredTarget &Entry : Listed) {
    Present.insert(Entry.Id_);
    auto [It, IsNew] = Targets_.try_emplace(Entry.Id_);
    ListedTarget &Known = It->second;
    bool IsNewIncarnation =
        !IsNew && Known.Entry_.Incarnation_ != Entry.Incarnation_;
    // The list may still show an entry written before the restart. One that
    // stays is that of a target whose clock was set back before its restart.
    if (IsNewIncarnation && Entry.Incarnation_ < Known.Entry_.Incarnation_) {
      if (!Known.OutdatedSince_)
        Known.OutdatedSince_ = Now;
      if (*Known.OutdatedSince_ + Options_.MaxOutdatedTime_ > Now)
        continue;
    }
    bool IsCopied =
        !IsNewIncarnation && Known.RemovedUntil_ && Now < *Known.RemovedUntil_;
    if (IsCopied) {
      Known.SeenAt_ = Now;
      continue;
    }
    TargetUsability Usability = Entry.State_ == TargetState::Draining
                                    ? TargetUsability::Draining
                                    : TargetUsability::Usable;
    bool IsLeaving = Usability == TargetUsability::Draining ||
                     (!IsNew && !IsNewIncarnation && Known.IsLeaving_);
    if (IsLeaving)
      Usability = TargetUsability::Draining;
    if (IsNew || IsNewIncarnation || Known.Usability_ != Usability)
      Changes.push_back({Entry.Id_, Usability, IsNew || IsNewIncarnation});
    auto RestartedAt =
        IsNewIncarnation ? std::optional(Now) : Known.RestartedAt_;
    Known = {std::move(Entry), Usability,    Now,         RestartedAt,
             IsLeaving,        std::nullopt, std::nullopt};
  }
  for (auto It = Targets_.begin(); It != Targets_.end();) {
    ListedTarget &Known = It->second;
    if (Present.contains(It->first)) {
      ++It;
      continue;
    }
    if (Known.SeenAt_ + UnlistedRetention < Now) {
      It = Targets_.erase(It);
      continue;
    }
    TargetUsability Usability = TargetUsability::Unlisted;
    bool MayHaveLapsed = Now < LapseUntil_ && mayGetRequests(Known.Usability_);
    if (MayHaveLapsed)
      Usability = TargetUsability::Lapsed;
    if (Known.Usability_ != Usability)
      Changes.push_back({It->first, Usability, false});
    Known.Usability_ = Usability;
    ++It;
  }
  return Changes;
}

void TargetRoster::recordRemoved(TimePoint Now) {
  for (auto &[Id, Known] : Targets_)
    if (Known.Usability_ == TargetUsability::Unlisted)
      Known.RemovedUntil_ = Now + Options_.MaxOutdatedTime_;
}

bool TargetRoster::wasUnknown(TimePoint Now) const {
  return !ReadAt_ || *ReadAt_ + Options_.MinOutage_ <= Now;
}

void TargetRoster::extendLapse(Duration Remaining, TimePoint Now) {
  if (wasUnknown(Now))
    LapseUntil_ = std::max(LapseUntil_, Now + Remaining);
}

std::vector<RosterChange> TargetRoster::endLapses(TimePoint Now) {
  std::vector<RosterChange> Changes;
  if (Now < LapseUntil_)
    return Changes;
  for (auto &[Id, Known] : Targets_)
    if (Known.Usability_ == TargetUsability::Lapsed) {
      Known.Usability_ = TargetUsability::Unlisted;
      Changes.push_back({Id, Known.Usability_, false});
    }
  return Changes;
}

bool TargetRoster::recordLeaving(const std::string &Id,
                                 std::int64_t Incarnation) {
  auto Found = Targets_.find(Id);
  if (Found == Targets_.end() ||
      Found->second.Entry_.Incarnation_ != Incarnation)
    return false;
  ListedTarget &Known = Found->second;
  Known.IsLeaving_ = true;
  if (Known.Usability_ == TargetUsability::Draining ||
      Known.Usability_ == TargetUsability::Unlisted)
    return false;
  Known.Usability_ = TargetUsability::Draining;
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
    bool MayServe = mayGetRequests(Known.Usability_);
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
