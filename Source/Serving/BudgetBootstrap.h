#ifndef ANVIL_SERVING_BUDGETBOOTSTRAP_H
#define ANVIL_SERVING_BUDGETBOOTSTRAP_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace anvil {

/// Decides how a newly started VM obtains the customers' token balances. It
/// adopts the balances of a VM whose budget covers the rate window. If all VMs
/// have started together, no VM has such balances; customers are then granted a
/// part of the overage that the rules allow, so that they are served again at
/// once. Covers rolling restarts and restarts of the whole fleet.
class BudgetBootstrap {
public:
  /// `Window` is the window over which rates are enforced. Only a VM whose
  /// budget covers at least this much time is a source of balances.
  explicit BudgetBootstrap(Duration Window) : Window_(Window) {}

  /// Records a state update of a VM, or a summary of another data centre with
  /// `Vms` VMs. `Coverage` is the time that the sender's budget covers.
  void recordUpdate(const std::string &Source, Duration Coverage,
                    std::uint64_t Vms = 1);

  /// Ends the start phase: balances were adopted from another VM
  /// (`HasAdopted`), or the initial grant was made.
  void endStartPhase(bool HasAdopted);

  bool isOver() const { return IsOver_; }

  /// Whether to make the initial grant now: enough of the fleet's `KnownVms`
  /// VMs are reachable, and all reachable ones are newly started.
  bool canGrant(std::size_t KnownVms) const;

  /// The time that this VM's own budget covers; `Up` is its uptime.
  Duration coveredTime(Duration Up) const {
    return HasAdoptedBalances_ ? Up + Window_ : Up;
  }

  /// Whether a budget that covers the last `Coverage` is too short to be a
  /// source of balances.
  bool isNewlyStarted(Duration Coverage) const { return Coverage < Window_; }

private:
  Duration Window_;
  /// The number of newly started VMs by the source that reported them.
  std::map<std::string, std::uint64_t> NewlyStarted_;
  bool SeesEstablishedVm_ = false;
  bool IsOver_ = false;
  bool HasAdoptedBalances_ = false;
};

} // namespace anvil

#endif // ANVIL_SERVING_BUDGETBOOTSTRAP_H
