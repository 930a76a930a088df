#ifndef ANVIL_KERNEL_ENUMNAMES_H
#define ANVIL_KERNEL_ENUMNAMES_H

#include <cstddef>
#include <string_view>
#include <utility>

namespace anvil {

/// The name of an enumerator in its table of names, as logs and JSON show it.
template <class Enum, std::size_t Size>
std::string_view
enumName(Enum Value, const std::pair<Enum, std::string_view> (&Table)[Size]) {
  for (const auto &[Known, Name] : Table)
    if (Known == Value)
      return Name;
  return "unknown";
}

} // namespace anvil

#endif // ANVIL_KERNEL_ENUMNAMES_H
