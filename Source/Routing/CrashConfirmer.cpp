#include "Routing/CrashConfirmer.h"

#include <algorithm>

namespace anvil {

/// Doubts held at once; more are taken for ordinary resets.
static constexpr std::size_t MostDoubts = 10000;

void CrashConfirmer::add(const std::string &Digest, TargetLife Life,
                         std::string Adapter, TimePoint Now) {
  if (Doubts_.size() < MostDoubts)
    Doubts_.push_back(
        {std::move(Life), Digest, std::move(Adapter), Now + Wait_});
}

bool CrashConfirmer::holds(const std::string &Digest) const {
  return std::ranges::count(Doubts_, Digest, &Doubt::Digest_) > 0;
}

std::vector<CrashConfirmer::Doubt>
CrashConfirmer::settle(const std::function<LifeSign(const Doubt &)> &Look,
                       TimePoint Now) {
  std::vector<Doubt> Confirmed;
  std::erase_if(Doubts_, [&](Doubt &Open) {
    bool Ended = Look(Open) == LifeSign::Ended;
    if (Ended)
      Confirmed.push_back(Open);
    return Ended || Open.Until_ <= Now;
  });
  return Confirmed;
}

} // namespace anvil
