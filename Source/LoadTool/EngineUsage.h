#ifndef ANVIL_LOADTOOL_ENGINEUSAGE_H
#define ANVIL_LOADTOOL_ENGINEUSAGE_H

#include "Kernel/Error.h"

#include <cstdint>
#include <string_view>

namespace anvil {

/// What one engine did in a run, read from its records.
struct EngineUsage {
  std::int64_t Loads_ = 0;
  std::int64_t Unloads_ = 0;
  std::int64_t Runs_ = 0;
  std::int64_t EvictedWhileServing_ = 0;
  /// The time in which at least one request ran, in seconds.
  double BusySeconds_ = 0;
  /// The requests that ran, summed over time, in seconds.
  double RunSeconds_ = 0;

  /// The mean number of requests in a batch while there was one.
  double meanBatch() const {
    return BusySeconds_ > 0 ? RunSeconds_ / BusySeconds_ : 0;
  }
};

/// Reads the JSON list of an engine stand-in's records. Events before `FromUs`
/// on the boot clock don't count.
Result<EngineUsage> readEngineUsage(std::string_view Records,
                                    std::int64_t FromUs);

} // namespace anvil

#endif // ANVIL_LOADTOOL_ENGINEUSAGE_H
