#ifndef ANVIL_TESTS_BENCH_BENCHSET_H
#define ANVIL_TESTS_BENCH_BENCHSET_H

#include "Objects/ObjectSet.h"

#include <string>

namespace anvil {

/// How large the sets of the benchmarks are.
struct BenchSize {
  std::int64_t Adapters_ = 3000;
  std::int64_t Targets_ = 21;
  std::int64_t Customers_ = 5;
};

/// A set of that size, whole and valid.
ConfigSnapshot makeBenchSet(const BenchSize &Size);

/// The secret of the customer with that number.
std::string benchSecret(std::int64_t Customer);

} // namespace anvil

#endif // ANVIL_TESTS_BENCH_BENCHSET_H
