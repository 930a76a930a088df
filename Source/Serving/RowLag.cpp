#include "Serving/RowLag.h"

#include <algorithm>

namespace anvil {

/// The maximum number of rows that are told apart. Further ones count as known
/// since the last of these.
static constexpr std::size_t MaxMissing = 64;

void RowLag::recordKnown(std::uint64_t Row, TimePoint At) {
  if (Row <= Applied_)
    return;
  // A row was written no later than any newer one.
  for (KnownRow &Known : Missing_)
    if (Known.Version_ <= Row)
      Known.At_ = std::min(Known.At_, At);
  if (!Missing_.empty() && Missing_.back().Version_ >= Row)
    return;
  if (Missing_.size() >= MaxMissing)
    Missing_.back().Version_ = Row;
  else
    Missing_.push_back({Row, At});
}

void RowLag::recordApplied(std::uint64_t Row) {
  Applied_ = std::max(Applied_, Row);
  while (!Missing_.empty() && Missing_.front().Version_ <= Applied_)
    Missing_.pop_front();
}

std::optional<TimePoint> RowLag::behindSince() const {
  if (Missing_.empty())
    return std::nullopt;
  return Missing_.front().At_;
}

void RowLag::reset() {
  Applied_ = 0;
  Missing_.clear();
}

} // namespace anvil
