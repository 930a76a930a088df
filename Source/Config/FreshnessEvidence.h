#ifndef ANVIL_CONFIG_FRESHNESSEVIDENCE_H
#define ANVIL_CONFIG_FRESHNESSEVIDENCE_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <optional>

namespace anvil {

/// Knows up to which moment this VM's revision was certainly the one in force.
/// Every piece of evidence says: at that moment no revision above that one had
/// been accepted.
class FreshnessEvidence {
public:
  /// Notes evidence. One about a higher revision than the one held counts once
  /// that is held.
  void note(std::uint64_t Revision, TimePoint At);

  /// Notes that this VM now works by a revision.
  void hold(std::uint64_t Revision);

  std::uint64_t held() const { return Held_; }

  /// The latest moment at which the revision held was the one in force.
  std::optional<TimePoint> at() const { return At_; }

private:
  struct Statement {
    std::uint64_t Revision_ = 0;
    TimePoint At_;
  };

  std::uint64_t Held_ = 0;
  std::optional<TimePoint> At_;
  std::optional<Statement> Pending_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_FRESHNESSEVIDENCE_H
