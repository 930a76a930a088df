#include "Routing/PrefixMemory.h"

#include <utility>

namespace anvil {

void PrefixMemory::note(std::uint64_t Prefix, const std::string &Target) {
  if (Young_.size() >= MostEntries_ / 2)
    Old_ = std::exchange(Young_, {});
  Young_[Prefix] = Target;
}

const std::string *PrefixMemory::find(std::uint64_t Prefix) const {
  for (const Table *Part : {&Young_, &Old_})
    if (auto Found = Part->find(Prefix); Found != Part->end())
      return &Found->second;
  return nullptr;
}

} // namespace anvil
