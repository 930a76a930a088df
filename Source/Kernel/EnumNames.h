#ifndef ANVIL_KERNEL_ENUMNAMES_H
#define ANVIL_KERNEL_ENUMNAMES_H

#include <cstddef>
#include <string_view>
#include <utility>

namespace anvil {

/// Looks up the name of an enumerator, as used in logs and JSON, in a table of
/// names. Returns "unknown" for a value that the table does not list.
template <class Enum, std::size_t Size>
std::string_view
enumName(Enum Value, const std::pair<Enum, std::string_view> (&Table)[Size]) {
  for (const auto &[Listed, Name] : Table)
    if (Listed == Value)
      return Name;
  return "unknown";
}

} // namespace anvil

#endif // ANVIL_KERNEL_ENUMNAMES_H
