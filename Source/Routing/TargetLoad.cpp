#include "Routing/TargetLoad.h"

#include "Kernel/Invariant.h"

#include <algorithm>

namespace anvil {

/// Ended requests that are remembered for each target.
static constexpr std::size_t MostEnded = 64;

void TargetLoad::began(const std::string &Target, TimePoint Now) {
  Usages_[Target].Began_.insert(Now);
}

void TargetLoad::ended(const std::string &Target, TimePoint Began,
                       TimePoint Now) {
  Usage &Known = Usages_[Target];
  auto Found = Known.Began_.find(Began);
  checkInvariant(Found != Known.Began_.end(),
                 "a request ended that had not begun");
  Known.Began_.erase(Found);
  Known.Ended_.push_back({Began, Now});
  if (Known.Ended_.size() > MostEnded)
    Known.Ended_.pop_front();
}

double TargetLoad::estimate(const std::string &Target,
                            const TargetReport *Report, TimePoint) const {
  auto Found = Usages_.find(Target);
  if (!Report)
    return Found == Usages_.end()
               ? 0
               : static_cast<double>(Found->second.Began_.size());
  auto Reported = static_cast<double>(Report->Running_ + Report->Waiting_);
  if (Found == Usages_.end())
    return Reported;
  const Usage &Known = Found->second;
  TimePoint Seen = Report->ReportedAt_ - Lag_;
  auto Since =
      std::distance(Known.Began_.upper_bound(Seen), Known.Began_.end());
  auto Gone = std::ranges::count_if(Known.Ended_, [Seen](const auto &Entry) {
    return Entry.first <= Seen && Entry.second > Seen;
  });
  double Remaining = std::max(0.0, Reported - static_cast<double>(Gone));
  double Least = static_cast<double>(Known.Began_.size());
  return std::max(Least, Remaining + static_cast<double>(Since));
}

std::size_t TargetLoad::running(const std::string &Target) const {
  auto Found = Usages_.find(Target);
  return Found == Usages_.end() ? 0 : Found->second.Began_.size();
}

} // namespace anvil
