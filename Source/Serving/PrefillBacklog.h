#ifndef ANVIL_SERVING_PREFILLBACKLOG_H
#define ANVIL_SERVING_PREFILLBACKLOG_H

#include "Kernel/Clock.h"

#include <map>
#include <string>

namespace anvil {

/// How long engines still read prompts that were sent to them. Prompts are read
/// one after another between the tokens of running requests, so several at once
/// stall every stream on the engine. Answers the load of bursts of long
/// prompts.
class PrefillBacklog {
public:
  /// `TokensPerMs` is how fast an engine reads prompts.
  explicit PrefillBacklog(double TokensPerMs) : TokensPerMs_(TokensPerMs) {}

  /// Notes a prompt that was sent.
  void note(const std::string &Engine, double Tokens, TimePoint Now);

  /// How long an engine reads so many tokens.
  Duration readingTime(double Tokens) const;

  /// The time until the engine has read what it was sent.
  Duration left(const std::string &Engine, TimePoint Now) const;

private:
  double TokensPerMs_;
  /// When each engine will have read its prompts.
  std::map<std::string, TimePoint> DoneAt_;
};

/// How long to hold a request back before it is sent to an engine that still
/// reads prompts for `Left` and will read this one for `Own`, so that the
/// engine's streams don't pause for longer than their callers stand. `Waited`
/// is how long it was held already. Zero sends it now.
Duration pacingWait(Duration Left, Duration Own, Duration Waited,
                    Duration LatencyTarget);

} // namespace anvil

#endif // ANVIL_SERVING_PREFILLBACKLOG_H
