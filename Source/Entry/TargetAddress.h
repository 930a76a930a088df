#ifndef ANVIL_ENTRY_TARGETADDRESS_H
#define ANVIL_ENTRY_TARGETADDRESS_H

#include "Http/Endpoint.h"

#include <cstdint>
#include <string>

namespace anvil {

/// An incarnation of a target and its address.
struct TargetAddress {
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  Endpoint Address_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETADDRESS_H
