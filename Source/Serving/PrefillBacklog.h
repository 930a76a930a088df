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

  /// The time until the engine has read what it was sent.
  Duration left(const std::string &Engine, TimePoint Now) const;

private:
  double TokensPerMs_;
  /// When each engine will have read its prompts.
  std::map<std::string, TimePoint> DoneAt_;
};

} // namespace anvil

#endif // ANVIL_SERVING_PREFILLBACKLOG_H
