#ifndef ANVIL_ENTRY_INCARNATIONFINDING_H
#define ANVIL_ENTRY_INCARNATIONFINDING_H

#include "Kernel/Error.h"
#include "Serving/Target.h"

#include <cstdint>
#include <string_view>
#include <utility>

namespace anvil {

/// Which incarnation of an engine has the address of a chosen one.
enum class IncarnationFinding {
  /// The chosen one.
  Same,
  /// Another one: the chosen one has ended.
  Other,
  /// The engine doesn't state it.
  NotStated,
  /// The engine didn't report in time.
  NoReport,
};

inline constexpr std::pair<IncarnationFinding, std::string_view>
    IncarnationNames[] = {
        {IncarnationFinding::Same, "same"},
        {IncarnationFinding::Other, "other"},
        {IncarnationFinding::NotStated, "not_stated"},
        {IncarnationFinding::NoReport, "no_report"},
};

/// What a report shows, or its failure.
inline IncarnationFinding findingOf(const Result<EngineReport> &Report,
                                    std::int64_t Incarnation) {
  if (!isOk(Report))
    return IncarnationFinding::NoReport;
  const auto &Stated = std::get<EngineReport>(Report).Incarnation_;
  if (!Stated)
    return IncarnationFinding::NotStated;
  return *Stated == Incarnation ? IncarnationFinding::Same
                                : IncarnationFinding::Other;
}

} // namespace anvil

#endif // ANVIL_ENTRY_INCARNATIONFINDING_H
