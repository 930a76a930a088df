#ifndef ANVIL_CONFIG_FRESHNESSEVIDENCE_H
#define ANVIL_CONFIG_FRESHNESSEVIDENCE_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <optional>

namespace anvil {

/// Tracks the latest time at which this VM's revision was certainly in force.
/// A piece of evidence states that at a time no revision above the given one
/// had been accepted.
class FreshnessEvidence {
public:
  /// Adds evidence. Evidence for a higher revision than the one held takes
  /// effect when this VM holds that revision.
  void add(std::uint64_t Revision, TimePoint At);

  /// Records that this VM now uses a revision. It must not decrease.
  void advanceTo(std::uint64_t Revision);

  std::uint64_t heldRevision() const { return HeldRevision_; }

  /// The latest time at which the held revision was certainly in force.
  std::optional<TimePoint> confirmedAt() const { return At_; }

private:
  struct Statement {
    std::uint64_t Revision_ = 0;
    TimePoint At_;
  };

  std::uint64_t HeldRevision_ = 0;
  std::optional<TimePoint> At_;
  std::optional<Statement> Pending_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_FRESHNESSEVIDENCE_H
