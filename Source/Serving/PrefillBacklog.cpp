#include "Serving/PrefillBacklog.h"

#include <algorithm>

namespace anvil {

void PrefillBacklog::note(const std::string &Engine, double Tokens,
                          TimePoint Now) {
  TimePoint &DoneAt = DoneAt_[Engine];
  std::chrono::duration<double, std::milli> Reading(Tokens / TokensPerMs_);
  DoneAt =
      std::max(DoneAt, Now) + std::chrono::duration_cast<Duration>(Reading);
}

Duration PrefillBacklog::left(const std::string &Engine, TimePoint Now) const {
  auto Found = DoneAt_.find(Engine);
  if (Found == DoneAt_.end() || Found->second <= Now)
    return Duration::zero();
  return Found->second - Now;
}

} // namespace anvil
