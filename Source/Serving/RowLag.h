#ifndef ANVIL_SERVING_ROWLAG_H
#define ANVIL_SERVING_ROWLAG_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace anvil {

/// Tracks for how long a VM has known that a table has newer rows than its
/// copy. Other VMs tell of newer rows, also while this VM can't read them.
class RowLag {
public:
  /// Records that the table had a row of version `Row` at `At` or earlier.
  void recordKnown(std::uint64_t Row, TimePoint At);

  /// Records that the copy has all rows up to version `Row`.
  void recordApplied(std::uint64_t Row);

  /// When the table had the first row that the copy lacks, at the latest;
  /// nothing if no such row is known.
  std::optional<TimePoint> behindSince() const;

  /// Forgets all rows, after the table has begun to give versions out again.
  void reset();

private:
  struct KnownRow {
    std::uint64_t Version_ = 0;
    TimePoint At_{};
  };

  std::uint64_t Applied_ = 0;
  /// Rows that the copy lacks, in ascending order of versions and times.
  std::deque<KnownRow> Missing_;
};

} // namespace anvil

#endif // ANVIL_SERVING_ROWLAG_H
