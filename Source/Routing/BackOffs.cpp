#include "Routing/BackOffs.h"

#include <algorithm>

namespace anvil {

/// The maximum back-off that is accepted from a target.
static constexpr Duration MaxBackOff = std::chrono::minutes(10);

/// By how much a time must be later to be news.
static constexpr Duration NewsMargin = std::chrono::milliseconds(50);

bool BackOffs::record(const std::string &Vm, const std::string &Target,
                      std::int64_t Incarnation, TimePoint Until,
                      TimePoint Now) {
  std::erase_if(Known_,
                [&](const auto &Item) { return Item.second.Until_ <= Now; });
  Entry &Known = Known_[{Target, Vm}];
  if (Known.Incarnation_ != Incarnation)
    Known = {Incarnation, Now};
  Until = std::min<TimePoint>(Until, Now + MaxBackOff);
  bool IsNews = Until > Known.Until_ + NewsMargin;
  Known.Until_ = std::max(Known.Until_, Until);
  return IsNews;
}

Duration BackOffs::remaining(const std::string &Vm, const std::string &Target,
                             std::int64_t Incarnation, TimePoint Now) const {
  auto Found = Known_.find({Target, Vm});
  if (Found == Known_.end() || Found->second.Incarnation_ != Incarnation)
    return Duration::zero();
  return std::max<Duration>(Duration::zero(), Found->second.Until_ - Now);
}

} // namespace anvil
