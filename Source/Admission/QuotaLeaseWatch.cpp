#include "Admission/QuotaLeaseWatch.h"

namespace anvil {

std::vector<std::string> QuotaLeaseWatch::see(const QuotaLeases &Row,
                                              TimePoint Now) {
  std::vector<std::string> Over;
  std::map<std::string, Sight> Seen;
  for (const auto &[Vm, Lease] : Row) {
    if (Lease.Ended_)
      continue;
    Sight Current{Lease.Id_, Lease.Counter_, Now};
    auto Known = Seen_.find(Vm);
    if (Known != Seen_.end() && Known->second.Id_ == Current.Id_ &&
        Known->second.Counter_ == Current.Counter_)
      Current.Since_ = Known->second.Since_;
    if (Now - Current.Since_ >= TermAndMargin_)
      Over.push_back(Vm);
    Seen[Vm] = Current;
  }
  Seen_ = std::move(Seen);
  return Over;
}

} // namespace anvil
