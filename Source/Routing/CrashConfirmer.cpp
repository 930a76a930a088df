#include "Routing/CrashConfirmer.h"

#include <algorithm>

namespace anvil {

/// Suspected crashes held at once; further ones are treated as ordinary
/// connection resets.
static constexpr std::size_t MaxPending = 10000;

void CrashConfirmer::add(const std::string &Digest, TargetInstance Instance,
                         std::string Adapter, TimePoint Now) {
  if (Pending_.size() < MaxPending)
    Pending_.push_back(
        {std::move(Instance), Digest, std::move(Adapter), Now + Timeout_});
}

bool CrashConfirmer::isPending(const std::string &Digest) const {
  return std::ranges::count(Pending_, Digest, &SuspectedCrash::Digest_) > 0;
}

std::vector<CrashConfirmer::SuspectedCrash> CrashConfirmer::resolve(
    const std::function<IncarnationState(const SuspectedCrash &)> &StateOf,
    TimePoint Now) {
  std::vector<SuspectedCrash> Confirmed;
  std::erase_if(Pending_, [&](SuspectedCrash &Crash) {
    bool Ended = StateOf(Crash) == IncarnationState::Ended;
    if (Ended)
      Confirmed.push_back(Crash);
    return Ended || Crash.ExpiresAt_ <= Now;
  });
  return Confirmed;
}

} // namespace anvil
