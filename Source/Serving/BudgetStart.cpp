#include "Serving/BudgetStart.h"

namespace anvil {

/// The share of the known VMs that must be reachable before the initial grant.
/// With fewer, one of the others may have kept running and still have the
/// balances.
static constexpr double HeardPart = 0.75;

void BudgetStart::noteNews(const std::string &Source, Duration Seen,
                           std::uint64_t Vms) {
  if (IsOver_)
    return;
  if (isYoung(Seen))
    Young_[Source] = Vms;
  else
    HeardOld_ = true;
}

void BudgetStart::end(bool WasTakenOver) {
  IsOver_ = true;
  TookOver_ = WasTakenOver;
  Young_.clear();
}

bool BudgetStart::mayGrant(std::size_t KnownVms) const {
  double Heard = 1;
  for (const auto &[Source, Vms] : Young_)
    Heard += static_cast<double>(Vms);
  return !IsOver_ && !HeardOld_ && KnownVms > 0 &&
         Heard >= HeardPart * static_cast<double>(KnownVms);
}

} // namespace anvil
