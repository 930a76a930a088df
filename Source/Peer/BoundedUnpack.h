#ifndef ANVIL_PEER_BOUNDEDUNPACK_H
#define ANVIL_PEER_BOUNDEDUNPACK_H

#include <msgpack.hpp>

#include <string_view>

namespace anvil {

/// Reads msgpack bytes that came from the network. A length that the bytes
/// can't hold is refused before room is made for it. Reports every fault by
/// throwing, as msgpack does.
inline msgpack::object_handle unpackBounded(std::string_view Bytes) {
  // The deepest message nests six levels.
  constexpr std::size_t MostDepth = 16;
  std::size_t Size = Bytes.size();
  return msgpack::unpack(
      Bytes.data(), Size, nullptr, nullptr,
      msgpack::unpack_limit(Size, Size, Size, Size, Size, MostDepth));
}

} // namespace anvil

#endif // ANVIL_PEER_BOUNDEDUNPACK_H
