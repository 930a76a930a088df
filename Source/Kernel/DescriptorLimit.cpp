#include "Kernel/DescriptorLimit.h"

#include <limits>

#include <sys/resource.h>

namespace anvil {

std::size_t descriptorLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) != 0 || Limit.rlim_cur == RLIM_INFINITY)
    return std::numeric_limits<std::size_t>::max();
  return Limit.rlim_cur;
}

} // namespace anvil
