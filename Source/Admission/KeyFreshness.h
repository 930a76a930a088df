#ifndef ANVIL_ADMISSION_KEYFRESHNESS_H
#define ANVIL_ADMISSION_KEYFRESHNESS_H

#include "Kernel/Clock.h"
#include "Objects/ObjectTypes.h"
#include "Requests/Refusal.h"

#include <optional>

namespace anvil {

/// Decides how long a customer's keys are accepted without evidence that the
/// configuration is current: for the grace period that applies to every
/// customer, or for the customer's own limit if that is longer.
class KeyFreshness {
public:
  explicit KeyFreshness(Duration Grace) : Grace_(Grace) {}

  /// Whether the customer's keys are accepted, given the time of the last
  /// evidence.
  bool isAccepted(const Customer &Owner, std::optional<TimePoint> Evidence,
                  TimePoint Now) const;

  /// The refusal for a key that is not accepted now; empty if it is accepted.
  std::optional<Refusal> check(const Customer &Owner,
                               std::optional<TimePoint> Evidence,
                               TimePoint Now) const;

private:
  Duration Grace_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_KEYFRESHNESS_H
