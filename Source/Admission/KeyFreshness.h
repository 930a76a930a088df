#ifndef ANVIL_ADMISSION_KEYFRESHNESS_H
#define ANVIL_ADMISSION_KEYFRESHNESS_H

#include "Kernel/Clock.h"
#include "Objects/ObjectTypes.h"
#include "Requests/Refusal.h"

#include <optional>

namespace anvil {

/// Decides how long a customer's keys are believed without evidence that the
/// configuration is current: for the grace that every customer has, or for the
/// customer's own limit where that is longer.
class KeyFreshness {
public:
  explicit KeyFreshness(Duration Grace) : Grace_(Grace) {}

  /// Whether the customer's keys are believed, given the last evidence.
  bool isBelieved(const Customer &Owner, std::optional<TimePoint> Evidence,
                  TimePoint Now) const;

  /// The refusal for a key that isn't believed now; nothing for others.
  std::optional<Refusal> check(const Customer &Owner,
                               std::optional<TimePoint> Evidence,
                               TimePoint Now) const;

private:
  Duration Grace_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_KEYFRESHNESS_H
