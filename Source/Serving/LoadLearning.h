#ifndef ANVIL_SERVING_LOADLEARNING_H
#define ANVIL_SERVING_LOADLEARNING_H

#include "Loading/LoadTimeEstimate.h"
#include "Serving/StoreLoadLimit.h"

#include <map>
#include <string>
#include <utility>

namespace anvil {

/// What a VM reports about loads to the others: the outcomes of the loads that
/// its requests waited for, and the load times that it expects.
struct LoadingReport {
  LoadCounts Counts_;
  Duration StoreLoad_{};
  Duration EngineLoad_{};
};

/// Learns from the outcomes of awaited loads, own ones and those that other VMs
/// report, how long loads take and how many may be in transit at once.
class LoadLearning {
public:
  /// Sets the number of engines that load from the store.
  void setEngines(std::size_t Count) { Limit_.setEngines(Count); }

  /// Sets a limit of adapters in transit that replaces the learned one; zero
  /// for none.
  void setFixedLimit(double Limit) { FixedLimit_ = Limit; }

  const LoadTimeEstimate &times() const { return Times_; }

  /// The maximum number of adapters in transit at once.
  double limit() const {
    return FixedLimit_ > 0 ? FixedLimit_ : Limit_.limit();
  }

  /// Records what a request of this VM found that had waited for a load, while
  /// `InTransit` adapters were in transit. Returns why the load was late, if it
  /// was.
  LateCause recordOwn(LoadSource Source, Duration Age, bool WasMissing,
                      double InTransit, TimePoint Now);

  /// Records the report of another VM's incarnation.
  void recordPeer(const std::string &Vm, const std::string &Incarnation,
                  const LoadingReport &Report, double InTransit, TimePoint Now);

  /// The report to the other VMs.
  LoadingReport report() const;

private:
  void recordEnded(const LoadCounts &Ended, double InTransit, TimePoint Now);

  StoreLoadLimit Limit_;
  double FixedLimit_ = 0;
  LoadTimeEstimate Times_;
  LoadCounts Own_;
  /// The counts that other VMs reported, with the VM's incarnation.
  std::map<std::string, std::pair<std::string, LoadCounts>> Peers_;
};

} // namespace anvil

#endif // ANVIL_SERVING_LOADLEARNING_H
