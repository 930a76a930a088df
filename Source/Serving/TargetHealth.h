#ifndef ANVIL_SERVING_TARGETHEALTH_H
#define ANVIL_SERVING_TARGETHEALTH_H

#include "Kernel/Clock.h"

#include <map>
#include <string>

namespace anvil {

/// How requests to targets go, from the requests themselves: the share that
/// fails and the time to the first byte, both weighted towards the latest.
/// Answers the load of targets that fail or slow down while their health check
/// passes.
class TargetHealth {
public:
  /// Notes an answer, good or failed, and the time to its first byte.
  void note(const std::string &Target, bool Failed, Duration FirstByte,
            TimePoint Now);

  /// The failing share of a target in [0, 1]; fades while it isn't tried.
  double failureShare(const std::string &Target, TimePoint Now) const;

  /// By how much a target's first byte is later than the fleet's mean.
  Duration lateness(const std::string &Target, TimePoint Now) const;

private:
  struct Record {
    double Failures_ = 0;
    double Trials_ = 0;
    double FirstByteMs_ = 0;
    TimePoint At_{};
  };

  static double fade(const Record &Known, TimePoint Now);

  std::map<std::string, Record> Targets_;
  double MeanFirstByteMs_ = 0;
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGETHEALTH_H
