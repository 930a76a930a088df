#ifndef ANVIL_PEER_FRAMECODEC_H
#define ANVIL_PEER_FRAMECODEC_H

#include "Kernel/Error.h"
#include "Peer/MessageType.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvil {

/// What part a frame has in a conversation.
enum class FrameKind : std::uint8_t { Notice = 0, Request = 1, Reply = 2 };

/// One message between VMs before its payload is decoded.
struct Frame {
  FrameKind Kind_ = FrameKind::Notice;
  MessageType Type_ = MessageType::Hello;
  /// Joins a reply to its request.
  std::uint64_t Correlation_ = 0;
  std::string Payload_;
};

/// The release of the frame format that this program speaks.
inline constexpr std::uint8_t FrameVersion = 1;

/// The longest payload that is sent or accepted, in bytes.
inline constexpr std::size_t FramePayloadLimitBytes = 16 * 1024 * 1024;

/// The bytes before each payload: length, version, kind, type, correlation.
inline constexpr std::size_t FrameHeadBytes = 4 + 1 + 1 + 2 + 8;

/// The bytes of a frame. A payload over the limit breaks an invariant.
std::string encodeFrame(const Frame &Given);

/// Takes one frame from the front of `Bytes`. Nothing when it is not complete
/// yet. Errors: protocol (version, kind or type unknown), too large.
Result<std::optional<Frame>> takeFrame(std::string &Bytes);

} // namespace anvil

#endif // ANVIL_PEER_FRAMECODEC_H
