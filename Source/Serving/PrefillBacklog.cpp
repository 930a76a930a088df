#include "Serving/PrefillBacklog.h"

#include <algorithm>

namespace anvil {

/// The maximum prefill backlog of an engine. The users' sheets allow pauses of
/// 300 ms, of which the tokens of an event take some 40.
static constexpr Duration MostUnread = std::chrono::milliseconds(120);

/// The backlog below which waiting gains nothing.
static constexpr Duration SmallBacklog = std::chrono::milliseconds(15);

/// The fraction of its latency target for which a request may be delayed.
static constexpr double MostPart = 0.4;

/// The maximum length of one wait; other VMs' prompts are received in the
/// meantime.
static constexpr Duration LongestWait = std::chrono::milliseconds(40);

void PrefillBacklog::note(const std::string &Engine, double Tokens,
                          TimePoint Now) {
  TimePoint &DoneAt = DoneAt_[Engine];
  DoneAt = std::max(DoneAt, Now) + readingTime(Tokens);
}

Duration PrefillBacklog::readingTime(double Tokens) const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Tokens / TokensPerMs_));
}

Duration PrefillBacklog::left(const std::string &Engine, TimePoint Now) const {
  auto Found = DoneAt_.find(Engine);
  if (Found == DoneAt_.end() || Found->second <= Now)
    return Duration::zero();
  return Found->second - Now;
}

Duration pacingWait(Duration Left, Duration Own, Duration Waited,
                    Duration LatencyTarget) {
  Duration Most =
      std::chrono::duration_cast<Duration>(LatencyTarget * MostPart);
  bool Fits = Left + Own <= MostUnread || Left <= SmallBacklog;
  if (Fits || Waited >= Most)
    return Duration::zero();
  Duration Excess = std::min(Left, Left + Own - MostUnread);
  return std::clamp<Duration>(std::min(Excess, Most - Waited),
                              std::chrono::milliseconds(2), LongestWait);
}

} // namespace anvil
