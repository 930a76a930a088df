#include "Routing/OutlierEjector.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

/// Doublings after which the ejection time has reached its maximum.
static constexpr int MaxDoublings = 20;

EjectionState OutlierEjector::state(const std::string &Target,
                                    TimePoint Now) const {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end() || !Found->second.Ejected_)
    return EjectionState::Serving;
  bool IsDue = Found->second.EjectedUntil_ <= Now && !Found->second.Probing_;
  return IsDue ? EjectionState::MayProbe : EjectionState::Ejected;
}

void OutlierEjector::recordStart(const std::string &Target, TimePoint Now) {
  if (state(Target, Now) == EjectionState::MayProbe)
    Targets_[Target].Probing_ = true;
}

void OutlierEjector::recordNeutral(const std::string &Target) {
  if (auto Found = Targets_.find(Target); Found != Targets_.end())
    Found->second.Probing_ = false;
}

void OutlierEjector::recordSuccess(const std::string &Target) {
  Targets_.erase(Target);
}

bool OutlierEjector::recordFailure(const std::string &Target,
                                   const std::string &Group,
                                   std::size_t GroupSize, TimePoint Now) {
  Health &Known = Targets_[Target];
  Known.Group_ = Group;
  Known.Probing_ = false;
  ++Known.Failures_;
  bool IsDue = Known.Ejected_ ? Known.EjectedUntil_ <= Now
                              : Known.Failures_ >= Options_.Failures_;
  if (!IsDue)
    return false;
  double Allowed = static_cast<double>(GroupSize) * Options_.MaxEjectedShare_;
  if (!Known.Ejected_ && static_cast<double>(ejected(Group) + 1) > Allowed)
    return false;
  int Doublings = std::min(Known.Ejections_++, MaxDoublings);
  Duration Time =
      std::min(Options_.MaxEjectionTime_,
               Options_.MinEjectionTime_ * (std::int64_t(1) << Doublings));
  bool IsNew = !Known.Ejected_;
  Known.Ejected_ = true;
  Known.EjectedUntil_ = Now + Time;
  checkInvariant(!IsNew || ejected(Group) < GroupSize || GroupSize == 0,
                 "every target of a group is ejected");
  return IsNew;
}

std::size_t OutlierEjector::ejected(const std::string &Group) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Targets_, [&](const auto &Entry) {
        return Entry.second.Ejected_ && Entry.second.Group_ == Group;
      }));
}

} // namespace anvil
