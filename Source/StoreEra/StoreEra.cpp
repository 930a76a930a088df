#include "StoreEra/StoreEra.h"

#include <charconv>

namespace anvil {

std::optional<std::uint64_t> StoreEra::parse(std::string_view Text) {
  std::uint64_t Era = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Problem] = std::from_chars(Text.data(), End, Era);
  bool IsNumber = Problem == std::errc() && Stop == End;
  if (!IsNumber || Era == 0 || Era > MaxEra)
    return std::nullopt;
  return Era;
}

EraRelation StoreEra::record(std::optional<std::uint64_t> Named,
                             TimePoint Now) {
  bool HadAnswer = std::exchange(HasAnswer_, true);
  if (!Named)
    return EraRelation::Unnamed;
  if (*Named < Current_)
    return EraRelation::Older;
  if (*Named == Current_)
    return EraRelation::Current;
  HasSeenEarlier_ = HadAnswer;
  Current_ = *Named;
  SeenAt_ = Now;
  return EraRelation::Newer;
}

TimePoint StoreEra::earlierRightsEndAt(Duration Validity,
                                       bool IsFirstSystemStart) const {
  bool HasEarlierRights =
      Current_ > 0 && (HasSeenEarlier_ || !IsFirstSystemStart);
  return HasEarlierRights ? SeenAt_ + Validity : TimePoint::min();
}

} // namespace anvil
