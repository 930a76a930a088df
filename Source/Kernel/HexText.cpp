#include "Kernel/HexText.h"

#include <cstdio>

namespace anvil {

std::string hexText(std::uint64_t Number) {
  char Digits[17];
  std::snprintf(Digits, sizeof(Digits), "%016llx",
                static_cast<unsigned long long>(Number));
  return Digits;
}

} // namespace anvil
