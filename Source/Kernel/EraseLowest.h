#ifndef ANVIL_KERNEL_ERASELOWEST_H
#define ANVIL_KERNEL_ERASELOWEST_H

#include <algorithm>
#include <cstddef>
#include <functional>

namespace anvil {

/// Erases the entry of a map that is not empty whose value is the lowest, as
/// projected.
template <class Map, class Projection = std::identity>
void eraseLowest(Map &Entries, Projection Project = {}) {
  Entries.erase(std::ranges::min_element(Entries, {}, [&](const auto &Entry) {
    return std::invoke(Project, Entry.second);
  }));
}

/// Makes room for a key in a map of bounded size: erases the lowest entry if
/// the key is missing and the map is full.
template <class Map, class Projection = std::identity>
void makeRoomFor(const typename Map::key_type &Key, Map &Entries,
                 std::size_t MaxSize, Projection Project = {}) {
  if (Entries.size() >= MaxSize && !Entries.contains(Key))
    eraseLowest(Entries, Project);
}

} // namespace anvil

#endif // ANVIL_KERNEL_ERASELOWEST_H
