#ifndef ANVIL_SERVING_TARGETHEALTH_H
#define ANVIL_SERVING_TARGETHEALTH_H

#include "Kernel/Clock.h"

#include <map>
#include <string>

namespace anvil {

/// Tracks the success of requests to each target from the requests themselves:
/// the share that fails and the time to first byte, both weighted towards
/// recent ones. Detects targets that fail or slow down while their health check
/// passes.
class TargetHealth {
public:
  /// Records a response or failure, and the time to its first byte.
  void recordResponse(const std::string &Target, bool Failed,
                      Duration FirstByte, TimePoint Now);

  /// The share of failed requests of a target in [0, 1]; decays while it gets
  /// no requests.
  double failureShare(const std::string &Target, TimePoint Now) const;

  /// By how much a target's time to first byte exceeds what the fleet's mean
  /// and its own speed predict. `SpeedFactor` is the factor by which work takes
  /// longer there than at a usual target.
  Duration excessLatency(const std::string &Target, TimePoint Now,
                         double SpeedFactor = 1) const;

private:
  struct Record {
    double Failures_ = 0;
    double Trials_ = 0;
    double FirstByteMs_ = 0;
    TimePoint At_{};
  };

  static double decay(const Record &Stats, TimePoint Now);

  std::map<std::string, Record> Targets_;
  double MeanFirstByteMs_ = 0;
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGETHEALTH_H
