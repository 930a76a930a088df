#ifndef ANVIL_PLACEMENT_STOREBUDGET_H
#define ANVIL_PLACEMENT_STOREBUDGET_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// The weight store's limits over all VMs together.
struct StoreLimits {
  double LoadsPerSecond_ = 0;
  std::int64_t Concurrent_ = 0;
};

/// One VM's part of the limits. Where there are fewer concurrent loads than
/// VMs, the first in the rendezvous order hold one each and the others nothing.
StoreLimits storeShare(const StoreLimits &Whole,
                       const std::vector<std::string> &Vms,
                       const std::string &Self);

/// The VMs that hold a part, in rendezvous order.
std::vector<std::string> storeHolders(const StoreLimits &Whole,
                                      std::vector<std::string> Vms);

/// Keeps the loads that count against one VM's part within it.
class StoreBudget {
public:
  /// `LongestLoad` is after what time a load that nobody ended counts no more.
  explicit StoreBudget(Duration LongestLoad) : LongestLoad_(LongestLoad) {}

  /// Changes the part. One that grew from nothing is first used after `Settle`,
  /// so that its holders before have noticed.
  void reshape(StoreLimits Share, Duration Settle, TimePoint Now);

  /// Starts a load if the part allows it. Starting it twice counts once.
  bool start(const std::string &Load, TimePoint Now);

  void end(const std::string &Load) { Running_.erase(Load); }

  std::size_t running() const { return Running_.size(); }

private:
  void refill(TimePoint Now);

  Duration LongestLoad_;
  StoreLimits Share_;
  double Tokens_ = 0;
  TimePoint RefilledAt_{};
  TimePoint UsableAt_{};
  std::map<std::string, TimePoint> Running_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_STOREBUDGET_H
