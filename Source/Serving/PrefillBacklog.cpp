#include "Serving/PrefillBacklog.h"

#include <algorithm>

namespace anvil {

/// The maximum prefill backlog of an engine. The users' sheets allow pauses of
/// 300 ms, of which the tokens of an event take some 40.
static constexpr Duration MaxBacklog = std::chrono::milliseconds(120);

/// The backlog below which waiting gains nothing.
static constexpr Duration NegligibleBacklog = std::chrono::milliseconds(15);

/// The fraction of its latency target for which a request may be delayed.
static constexpr double MaxDelayShare = 0.4;

/// The maximum length of one wait; other VMs' prompts are received in the
/// meantime.
static constexpr Duration MaxWait = std::chrono::milliseconds(40);

void PrefillBacklog::recordPrompt(const std::string &Engine, double Tokens,
                                  TimePoint Now, double SpeedFactor) {
  TimePoint &DoneAt = DoneAt_[Engine];
  DoneAt = std::max(DoneAt, Now) + prefillTime(Tokens, SpeedFactor);
}

Duration PrefillBacklog::prefillTime(double Tokens, double SpeedFactor) const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Tokens / TokensPerMs_ *
                                                SpeedFactor));
}

Duration PrefillBacklog::remainingTime(const std::string &Engine,
                                       TimePoint Now) const {
  auto Found = DoneAt_.find(Engine);
  if (Found == DoneAt_.end() || Found->second <= Now)
    return Duration::zero();
  return Found->second - Now;
}

Duration pacingDelay(Duration Backlog, Duration OwnPrefill, Duration Delayed,
                     Duration LatencyTarget) {
  Duration MaxDelay =
      std::chrono::duration_cast<Duration>(LatencyTarget * MaxDelayShare);
  bool Fits =
      Backlog + OwnPrefill <= MaxBacklog || Backlog <= NegligibleBacklog;
  if (Fits || Delayed >= MaxDelay)
    return Duration::zero();
  Duration Excess = std::min(Backlog, Backlog + OwnPrefill - MaxBacklog);
  return std::clamp<Duration>(std::min(Excess, MaxDelay - Delayed),
                              std::chrono::milliseconds(2), MaxWait);
}

} // namespace anvil
