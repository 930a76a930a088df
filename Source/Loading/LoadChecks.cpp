#include "Loading/LoadChecks.h"

namespace anvil {

/// The time after its order from which a load is taken to have ended, and for
/// which a check is remembered.
static constexpr Duration CheckedTime = std::chrono::seconds(5);

Duration LoadChecks::pauseBefore(const std::string &Engine,
                                 const std::string &Adapter,
                                 TimePoint OrderedAt, TimePoint Now) {
  if (OrderedAt + CheckedTime <= Now)
    return Duration::zero();
  if (NextPrune_ <= Now) {
    std::erase_if(Checks_, [&](const auto &Entry) {
      return Entry.second.StartedAt_ + CheckedTime <= Now;
    });
    NextPrune_ = Now + CheckedTime;
  }
  auto [Found, IsNew] =
      Checks_.try_emplace({Engine, Adapter}, Check{Now, false});
  if (IsNew || Found->second.Confirmed_)
    return Duration::zero();
  Duration Remaining = Found->second.StartedAt_ + MaxCheck - Now;
  if (Remaining > Duration::zero())
    return Remaining;
  Found->second.Confirmed_ = true;
  return Duration::zero();
}

void LoadChecks::recordReply(const std::string &Engine,
                             const std::string &Adapter, bool WasMissing) {
  auto Found = Checks_.find({Engine, Adapter});
  if (Found == Checks_.end())
    return;
  if (WasMissing)
    Checks_.erase(Found);
  else
    Found->second.Confirmed_ = true;
}

} // namespace anvil
