#ifndef ANVIL_PLACEMENT_STOREBUDGET_H
#define ANVIL_PLACEMENT_STOREBUDGET_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// Limits on loads from the weight store: the total or one VM's share.
struct StoreLimits {
  double LoadsPerSecond_ = 0;
  std::int64_t Concurrent_ = 0;
};

/// One VM's share of the limits. With fewer concurrent loads than VMs, the
/// first VMs in rendezvous order have one load each and the others none.
StoreLimits budgetShare(const StoreLimits &Total,
                        const std::vector<std::string> &Vms,
                        const std::string &Self);

/// The VMs that have a share, in rendezvous order.
std::vector<std::string> budgetHolders(const StoreLimits &Total,
                                       std::vector<std::string> Vms);

/// Keeps the loads charged to one VM's share within it.
class StoreBudget {
public:
  /// A load whose end is not reported is no longer counted after `MaxLoadTime`.
  explicit StoreBudget(Duration MaxLoadTime) : MaxLoadTime_(MaxLoadTime) {}

  /// Changes the share. One that grew from zero becomes usable after
  /// `ActivationDelay`, so that its previous holders have noticed the change.
  void setShare(StoreLimits Share, Duration ActivationDelay, TimePoint Now);

  /// Starts a load if the share allows it. Starting it twice counts once.
  bool start(const std::string &Load, TimePoint Now);

  void end(const std::string &Load) { Running_.erase(Load); }

  std::size_t running() const { return Running_.size(); }

private:
  void refill(TimePoint Now);

  Duration MaxLoadTime_;
  StoreLimits Share_;
  double Tokens_ = 0;
  TimePoint RefilledAt_{};
  TimePoint UsableAt_{};
  std::map<std::string, TimePoint> Running_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_STOREBUDGET_H
