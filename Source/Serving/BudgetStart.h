#ifndef ANVIL_SERVING_BUDGETSTART_H
#define ANVIL_SERVING_BUDGETSTART_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace anvil {

/// Decides how a VM that has just started learns what customers may still
/// spend. It takes over the balances of a VM that has seen the last seconds.
/// Only where all VMs start together does nobody know; customers then get a
/// part of what the rules allow beyond their rate, so that they are served
/// again at once. Answers the load of restarts in turn and of all at once.
class BudgetStart {
public:
  /// A VM's budget is worth being taken over once it has seen this much; the
  /// window in which rates are judged.
  explicit BudgetStart(Duration Memory) : Memory_(Memory) {}

  /// Notes news of a VM, or of another data centre with so many VMs, whose
  /// teller's budget has seen the last `Seen`.
  void noteNews(const std::string &Source, Duration Seen,
                std::uint64_t Vms = 1);

  /// Balances of a VM that knows more were taken over, or the grant was made.
  void end(bool WasTakenOver);

  bool isOver() const { return IsOver_; }

  /// Whether customers should get their grant now, with `KnownVms` in the
  /// fleet: enough VMs are heard and all of them have just started.
  bool mayGrant(std::size_t KnownVms) const;

  /// What this VM's own budget has seen, started `Up` ago.
  Duration seen(Duration Up) const { return TookOver_ ? Up + Memory_ : Up; }

  /// Whether a VM whose budget has seen the last `Seen` needs balances.
  bool isYoung(Duration Seen) const { return Seen < Memory_; }

private:
  Duration Memory_;
  /// How many VMs have just started, by whose news tell of them.
  std::map<std::string, std::uint64_t> Young_;
  bool HeardOld_ = false;
  bool IsOver_ = false;
  bool TookOver_ = false;
};

} // namespace anvil

#endif // ANVIL_SERVING_BUDGETSTART_H
