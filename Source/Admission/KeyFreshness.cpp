#include "Admission/KeyFreshness.h"

#include <algorithm>

namespace anvil {

/// Retry-After for callers whose key cannot be verified here.
static constexpr Duration StaleRetry = std::chrono::seconds(5);

bool KeyFreshness::isAccepted(const Customer &Owner,
                              std::optional<TimePoint> Evidence,
                              TimePoint Now) const {
  Duration Own = std::chrono::seconds(Owner.OfflineKeySeconds_);
  return Evidence && Now - *Evidence <= std::max(Grace_, Own);
}

std::optional<Refusal> KeyFreshness::check(const Customer &Owner,
                                           std::optional<TimePoint> Evidence,
                                           TimePoint Now) const {
  if (isAccepted(Owner, Evidence, Now))
    return std::nullopt;
  return Refusal{RefusalCode::ConfigurationStale,
                 "this data centre can't confirm that the key is still valid",
                 Execution::No, StaleRetry};
}

} // namespace anvil
