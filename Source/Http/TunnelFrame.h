#ifndef ANVIL_HTTP_TUNNELFRAME_H
#define ANVIL_HTTP_TUNNELFRAME_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace anvil {

/// A relay sends the bytes of the server in frames, so that the client knows
/// the server's end of the connection from that of the relay. A frame is a kind
/// and the size of what follows, as three bytes, most significant first.
enum class TunnelFrame : std::uint8_t {
  /// Bytes of the server follow.
  Data = 1,
  /// The server has closed its side in order. Nothing follows.
  End = 2,
  /// The client is to send no further request on this connection; the answer
  /// to one under way still comes.
  Retire = 3,
};

inline constexpr std::size_t TunnelFrameHeadBytes = 4;
inline constexpr std::size_t MaxTunnelFrameBytes = (1U << 24U) - 1;

/// The header by which a client asks for frames and by which the relay states
/// that it sends them, and its value.
inline constexpr std::string_view TunnelFramingHeader = "Tunnel-Framing";
inline constexpr std::string_view TunnelFramingVersion = "1";

/// The head of a frame with at most `MaxTunnelFrameBytes`.
inline std::array<char, TunnelFrameHeadBytes>
encodeTunnelFrameHead(TunnelFrame Kind, std::size_t Bytes) {
  constexpr unsigned ByteBits = 8;
  constexpr std::size_t ByteMask = 0xff;
  return {static_cast<char>(Kind),
          static_cast<char>(Bytes >> (2 * ByteBits) & ByteMask),
          static_cast<char>(Bytes >> ByteBits & ByteMask),
          static_cast<char>(Bytes & ByteMask)};
}

} // namespace anvil

#endif // ANVIL_HTTP_TUNNELFRAME_H
