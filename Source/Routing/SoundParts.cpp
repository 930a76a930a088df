#include "Routing/SoundParts.h"

#include <algorithm>
#include <utility>

namespace anvil {

void SoundParts::record(PartId Part, TimePoint SentAt) {
  if (Recent_.size() >= MaxParts_ && !Recent_.contains(Part))
    Earlier_ = std::exchange(Recent_, {});
  TimePoint &Last = Recent_[Part];
  Last = std::max(Last, SentAt);
}

std::optional<TimePoint> SoundParts::lastSent(PartId Part) const {
  auto Recent = Recent_.find(Part);
  auto Earlier = Earlier_.find(Part);
  if (Recent == Recent_.end() && Earlier == Earlier_.end())
    return std::nullopt;
  TimePoint Last{};
  if (Recent != Recent_.end())
    Last = Recent->second;
  if (Earlier != Earlier_.end())
    Last = std::max(Last, Earlier->second);
  return Last;
}

} // namespace anvil
