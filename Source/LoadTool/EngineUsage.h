#ifndef ANVIL_LOADTOOL_ENGINEUSAGE_H
#define ANVIL_LOADTOOL_ENGINEUSAGE_H

#include "Kernel/Error.h"

#include <cstdint>
#include <string_view>

namespace anvil {

/// The activity of one engine during a run, computed from its event records.
struct EngineUsage {
  std::int64_t Loads_ = 0;
  std::int64_t Unloads_ = 0;
  std::int64_t Runs_ = 0;
  std::int64_t EvictedWhileServing_ = 0;
  /// The time during which at least one request was running, in seconds.
  double BusySeconds_ = 0;
  /// The running time summed over all requests, in request-seconds.
  double RunSeconds_ = 0;

  /// The mean number of running requests while the engine was busy.
  double meanBatch() const {
    return BusySeconds_ > 0 ? RunSeconds_ / BusySeconds_ : 0;
  }
};

/// Evaluates the JSON list of an engine stand-in's records. Events before
/// `FromUs` (microseconds of the boot clock) are not counted.
Result<EngineUsage> readEngineUsage(std::string_view Records,
                                    std::int64_t FromUs);

} // namespace anvil

#endif // ANVIL_LOADTOOL_ENGINEUSAGE_H
