#include "Serving/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The time after which an observation has half its weight.
static constexpr double HalfLifeSeconds = 2.0;

/// Successful requests with which every target is credited, so that one failure
/// does not make it unattractive.
static constexpr double PriorTrials = 2.0;

/// The weight of one response in the mean time to first byte.
static constexpr double MeanWeight = 0.05;

double TargetHealth::fade(const Record &Known, TimePoint Now) {
  return std::exp2(-toSeconds(Now - Known.At_) / HalfLifeSeconds);
}

void TargetHealth::note(const std::string &Target, bool Failed,
                        Duration FirstByte, TimePoint Now) {
  Record &Known = Targets_[Target];
  double Fade = Known.Trials_ > 0 ? fade(Known, Now) : 0;
  double Ms = toSeconds(FirstByte) * 1000;
  double OldTrials = Known.Trials_ * Fade;
  Known.FirstByteMs_ =
      Failed ? Known.FirstByteMs_
             : (Known.FirstByteMs_ * OldTrials + Ms) / (OldTrials + 1);
  Known.Failures_ = Known.Failures_ * Fade + (Failed ? 1 : 0);
  Known.Trials_ = OldTrials + 1;
  Known.At_ = Now;
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
  double Fade = fade(Found->second, Now);
  return Found->second.Failures_ * Fade /
         (Found->second.Trials_ * Fade + PriorTrials);
}

Duration TargetHealth::lateness(const std::string &Target,
                                TimePoint Now) const {
  auto Found = Targets_.find(Target);
  if (Found == Targets_.end())
    return Duration::zero();
  double Fade = fade(Found->second, Now);
  double Trials = Found->second.Trials_ * Fade;
  double Trust = Trials / (Trials + PriorTrials);
  double LateMs = (Found->second.FirstByteMs_ - MeanFirstByteMs_) * Trust;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::max(0.0, LateMs)));
}

} // namespace anvil
