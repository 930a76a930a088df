#ifndef ANVIL_KERNEL_DESCRIPTORLIMIT_H
#define ANVIL_KERNEL_DESCRIPTORLIMIT_H

#include <cstddef>

namespace anvil {

/// The number of descriptors that this process may have open.
std::size_t descriptorLimit();

} // namespace anvil

#endif // ANVIL_KERNEL_DESCRIPTORLIMIT_H
