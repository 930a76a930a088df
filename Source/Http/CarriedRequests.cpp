#include "Http/CarriedRequests.h"

#include <algorithm>
#include <functional>

namespace anvil {

static std::size_t hashOf(std::string_view Id) {
  return std::hash<std::string_view>()(Id);
}

bool CarriedRequests::canIdentify(std::string_view Id) const {
  if (!mayCarryMore())
    return false;
  if (Id.empty())
    return Ids_.empty();
  return std::ranges::find(Ids_, hashOf(Id)) == Ids_.end();
}

void CarriedRequests::recordRequest(std::string_view Id) {
  // An answer without an id can't be told from that of a request without one.
  HasUnnamedAnswer_ |= Id.empty();
  Ids_.push_back(hashOf(Id));
}

} // namespace anvil
