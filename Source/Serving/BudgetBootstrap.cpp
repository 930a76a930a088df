#include "Serving/BudgetBootstrap.h"

namespace anvil {

/// The share of the known VMs that must be reachable before the initial grant.
/// With fewer, one of the others may have kept running and still have the
/// balances.
static constexpr double MinReachableShare = 0.75;

void BudgetBootstrap::recordUpdate(const std::string &Source, Duration Coverage,
                                   std::uint64_t Vms) {
  if (IsOver_)
    return;
  if (isNewlyStarted(Coverage))
    NewlyStarted_[Source] = Vms;
  else
    SeesEstablishedVm_ = true;
}

void BudgetBootstrap::endStartPhase(bool HasAdopted) {
  IsOver_ = true;
  HasAdoptedBalances_ = HasAdopted;
  NewlyStarted_.clear();
}

bool BudgetBootstrap::canGrant(std::size_t KnownVms) const {
  double Reachable = 1;
  for (const auto &[Source, Vms] : NewlyStarted_)
    Reachable += static_cast<double>(Vms);
  return !IsOver_ && !SeesEstablishedVm_ && KnownVms > 0 &&
         Reachable >= MinReachableShare * static_cast<double>(KnownVms);
}

} // namespace anvil
