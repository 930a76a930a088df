#ifndef ANVIL_KERNEL_HEXTEXT_H
#define ANVIL_KERNEL_HEXTEXT_H

#include <cstdint>
#include <string>

namespace anvil {

/// The 16 hexadecimal digits of a number.
std::string hexText(std::uint64_t Number);

} // namespace anvil

#endif // ANVIL_KERNEL_HEXTEXT_H
