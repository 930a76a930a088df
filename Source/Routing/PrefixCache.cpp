#include "Routing/PrefixCache.h"

#include <utility>

namespace anvil {

void PrefixCache::record(std::uint64_t Prefix, const std::string &Target) {
  if (Recent_.size() >= MaxEntries_ / 2)
    Older_ = std::exchange(Recent_, {});
  Recent_[Prefix] = Target;
}

const std::string *PrefixCache::find(std::uint64_t Prefix) const {
  for (const Table *Generation : {&Recent_, &Older_})
    if (auto Found = Generation->find(Prefix); Found != Generation->end())
      return &Found->second;
  return nullptr;
}

} // namespace anvil
