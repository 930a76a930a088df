#ifndef ANVIL_TESTS_BENCH_BENCHSET_H
#define ANVIL_TESTS_BENCH_BENCHSET_H

#include "Objects/ObjectSet.h"

#include <string>

namespace anvil {

/// The numbers of objects in a benchmark's configuration.
struct BenchSize {
  std::int64_t Adapters_ = 3000;
  std::int64_t Targets_ = 21;
  std::int64_t Customers_ = 5;
};

/// Returns a valid set of that size.
ConfigSnapshot makeBenchSet(const BenchSize &Size);

/// The secret of the key of the customer with that index.
std::string benchSecret(std::int64_t CustomerIndex);

} // namespace anvil

#endif // ANVIL_TESTS_BENCH_BENCHSET_H
