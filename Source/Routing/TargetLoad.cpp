#include "Routing/TargetLoad.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

/// The number of ended requests kept for each target.
static constexpr std::size_t MaxEnded = 64;

void TargetLoad::recordStart(const std::string &Target, TimePoint Now) {
  Usages_[Target].StartTimes_.insert(Now);
}

void TargetLoad::recordEnd(const std::string &Target, TimePoint StartedAt,
                           TimePoint Now) {
  Usage &Known = Usages_[Target];
  auto Found = Known.StartTimes_.find(StartedAt);
  checkInvariant(Found != Known.StartTimes_.end(),
                 "a request ended without a recorded start");
  Known.StartTimes_.erase(Found);
  Known.RecentlyEnded_.push_back({StartedAt, Now});
  if (Known.RecentlyEnded_.size() > MaxEnded)
    Known.RecentlyEnded_.pop_front();
}

double TargetLoad::estimate(const std::string &Target,
                            const TargetReport *Report, TimePoint) const {
  auto Found = Usages_.find(Target);
  if (!Report)
    return Found == Usages_.end()
               ? 0
               : static_cast<double>(Found->second.StartTimes_.size());
  auto Reported = static_cast<double>(Report->Running_ + Report->Waiting_);
  if (Found == Usages_.end())
    return Reported;
  const Usage &Known = Found->second;
  TimePoint ReflectedAt = Report->ReportedAt_ - ReportLag_;
  auto StartedSince = std::distance(Known.StartTimes_.upper_bound(ReflectedAt),
                                    Known.StartTimes_.end());
  auto EndedSince = std::ranges::count_if(
      Known.RecentlyEnded_, [ReflectedAt](const auto &Entry) {
        return Entry.first <= ReflectedAt && Entry.second > ReflectedAt;
      });
  double Remaining = std::max(0.0, Reported - static_cast<double>(EndedSince));
  double Minimum = static_cast<double>(Known.StartTimes_.size());
  return std::max(Minimum, Remaining + static_cast<double>(StartedSince));
}

std::size_t TargetLoad::running(const std::string &Target) const {
  auto Found = Usages_.find(Target);
  return Found == Usages_.end() ? 0 : Found->second.StartTimes_.size();
}

} // namespace anvil
