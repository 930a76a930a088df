#ifndef ANVIL_PEER_BOUNDEDUNPACK_H
#define ANVIL_PEER_BOUNDEDUNPACK_H

#include <msgpack.hpp>

#include <string_view>

namespace anvil {

/// Decodes msgpack bytes received from the network. A declared length that
/// exceeds the input is rejected before memory is allocated for it. Throws on
/// every error, as msgpack does.
inline msgpack::object_handle unpackBounded(std::string_view Bytes) {
  // No message nests deeper than six levels.
  constexpr std::size_t MaxNestingDepth = 16;
  std::size_t Size = Bytes.size();
  return msgpack::unpack(
      Bytes.data(), Size, nullptr, nullptr,
      msgpack::unpack_limit(Size, Size, Size, Size, Size, MaxNestingDepth));
}

} // namespace anvil

#endif // ANVIL_PEER_BOUNDEDUNPACK_H
