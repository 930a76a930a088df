#include "Serving/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The time after which an observation has half its weight.
static constexpr double HalfLifeSeconds = 2.0;

/// Successful requests with which every target is credited, so that a single
/// failure has little weight.
static constexpr double PriorTrials = 2.0;

/// The weight of one response in the mean time to first byte.
static constexpr double MeanWeight = 0.05;

double TargetHealth::decay(const Record &Stats, TimePoint Now) {
  return std::exp2(-toSeconds(Now - Stats.At_) / HalfLifeSeconds);
}

void TargetHealth::recordResponse(const std::string &Target, bool Failed,
                                  Duration FirstByte, TimePoint Now) {
  Record &Stats = Targets_[Target];
  double Decay = Stats.Trials_ > 0 ? decay(Stats, Now) : 0;
  double Ms = toSeconds(FirstByte) * 1000;
  double OldTrials = Stats.Trials_ * Decay;
  Stats.FirstByteMs_ =
      Failed ? Stats.FirstByteMs_
             : (Stats.FirstByteMs_ * OldTrials + Ms) / (OldTrials + 1);
  Stats.Failures_ = Stats.Failures_ * Decay + (Failed ? 1 : 0);
  Stats.Trials_ = OldTrials + 1;
  Stats.At_ = Now;
  if (!Failed)
    MeanFirstByteMs_ =
        MeanFirstByteMs_ == 0
            ? Ms
            : MeanFirstByteMs_ * (1 - MeanWeight) + Ms * MeanWeight;
}

double TargetHealth::failureShare(const std::string &Target,
                                  TimePoint Now) const {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end())
    return 0;
  double Decay = decay(Found->second, Now);
  return Found->second.Failures_ * Decay /
         (Found->second.Trials_ * Decay + PriorTrials);
}

Duration TargetHealth::excessLatency(const std::string &Target, TimePoint Now,
                                     double SpeedFactor) const {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end())
    return Duration::zero();
  double Decay = decay(Found->second, Now);
  double Trials = Found->second.Trials_ * Decay;
  double Confidence = Trials / (Trials + PriorTrials);
  double PredictedMs = MeanFirstByteMs_ * std::max(1.0, SpeedFactor);
  double LateMs = (Found->second.FirstByteMs_ - PredictedMs) * Confidence;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::max(0.0, LateMs)));
}

} // namespace anvil
