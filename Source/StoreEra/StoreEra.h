#ifndef ANVIL_STOREERA_STOREERA_H
#define ANVIL_STOREERA_STOREERA_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace anvil {

/// How the era that an answer names relates to the highest one seen.
enum class EraRelation { Unnamed, Current, Newer, Older };

inline constexpr std::pair<EraRelation, std::string_view> EraRelationNames[] = {
    {EraRelation::Unnamed, "unnamed"},
    {EraRelation::Current, "current"},
    {EraRelation::Newer, "newer"},
    {EraRelation::Older, "older"},
};

/// The highest era of the store that this process has seen. The era rises each
/// time the store is restored from a copy that lacks its latest changes.
/// Versions of rows are comparable only within an era.
class StoreEra {
public:
  /// Eras above this are not distinguished from a malformed one. A fencing
  /// token that begins with the era stays below 2^53, the largest number that
  /// every JSON implementation reads exactly.
  static constexpr unsigned FenceCountBits = 20;
  static constexpr std::uint64_t MaxEra =
      (std::uint64_t{1} << (53 - FenceCountBits)) - 1;

  /// Parses an era from its decimal text; nothing for text that is not a number
  /// from 1 to `MaxEra`.
  static std::optional<std::uint64_t> parse(std::string_view Text);

  /// The lowest fencing token of an era, with which the first owner of a target
  /// in that era sends orders; 1 if the store names no era.
  static constexpr std::uint64_t firstFence(std::uint64_t Era) {
    return (Era << FenceCountBits) + 1;
  }

  /// Records the era that an answer or another VM names. Returns how it relates
  /// to the highest one seen before.
  EraRelation record(std::optional<std::uint64_t> Named, TimePoint Now);

  /// The highest era seen; zero while none was named.
  std::uint64_t current() const { return Current_; }

  /// When `current` was first seen here. The era began at some time before.
  TimePoint seenAt() const { return SeenAt_; }

  /// Whether this process has received answers before this era.
  bool hasSeenEarlier() const { return HasSeenEarlier_; }

  /// The time from which rights that were lost with the rows of earlier eras
  /// have certainly ended, if each ends within `Validity` of its last
  /// confirmation. A process that starts can't know that the era is old, unless
  /// the whole system starts for the first time.
  TimePoint earlierRightsEndAt(Duration Validity,
                               bool IsFirstSystemStart) const;

private:
  std::uint64_t Current_ = 0;
  TimePoint SeenAt_{};
  bool HasAnswer_ = false;
  bool HasSeenEarlier_ = false;
};

} // namespace anvil

#endif // ANVIL_STOREERA_STOREERA_H
