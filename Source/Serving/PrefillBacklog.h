#ifndef ANVIL_SERVING_PREFILLBACKLOG_H
#define ANVIL_SERVING_PREFILLBACKLOG_H

#include "Kernel/Clock.h"

#include <map>
#include <string>

namespace anvil {

/// Estimates how long engines are still busy with the prefill of prompts that
/// were sent to them. Prompts are processed one after another between the
/// tokens of running requests, so several at once stall every stream on the
/// engine. Covers bursts of long prompts.
class PrefillBacklog {
public:
  /// `TokensPerMs` is the prefill speed of an engine.
  explicit PrefillBacklog(double TokensPerMs) : TokensPerMs_(TokensPerMs) {}

  /// Records a prompt that was sent to an engine on which work takes
  /// `SpeedFactor` times the usual time.
  void recordPrompt(const std::string &Engine, double Tokens, TimePoint Now,
                    double SpeedFactor = 1);

  /// The prefill time of a prompt of `Tokens`.
  Duration prefillTime(double Tokens, double SpeedFactor = 1) const;

  /// The time until the engine has processed the prompts sent to it.
  Duration remainingTime(const std::string &Engine, TimePoint Now) const;

private:
  double TokensPerMs_;
  /// When each engine will have processed its prompts.
  std::map<std::string, TimePoint> DoneAt_;
};

/// How long to delay a request to an engine whose prefill backlog lasts
/// `Backlog` and whose prefill of this request takes `OwnPrefill`, so that the
/// engine's streams do not pause for longer than their callers accept.
/// `Delayed` is how long the request was delayed already. Zero means to send it
/// now.
Duration pacingDelay(Duration Backlog, Duration OwnPrefill, Duration Delayed,
                     Duration LatencyTarget);

} // namespace anvil

#endif // ANVIL_SERVING_PREFILLBACKLOG_H
