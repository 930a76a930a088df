#ifndef ANVIL_PEER_FRAMECODEC_H
#define ANVIL_PEER_FRAMECODEC_H

#include "Kernel/Error.h"
#include "Peer/MessageType.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvil {

/// The role of a frame; a notice has no reply.
enum class FrameKind : std::uint8_t { Notice = 0, Request = 1, Reply = 2 };

/// One message between VMs, with its payload not decoded yet.
struct Frame {
  FrameKind Kind_ = FrameKind::Notice;
  MessageType Type_ = MessageType::Hello;
  /// Matches a reply to its request; zero in a notice.
  std::uint64_t CorrelationId_ = 0;
  std::string Payload_;
};

/// The version of the frame format. Frames of other versions are rejected.
inline constexpr std::uint8_t FrameVersion = 1;

/// The maximum size of a payload, sent or received, in bytes.
inline constexpr std::size_t FramePayloadLimitBytes = 16 * 1024 * 1024;

/// The size of a frame header in bytes: length, version, kind, type and
/// correlation, all big-endian.
inline constexpr std::size_t FrameHeaderBytes = 4 + 1 + 1 + 2 + 8;

/// Encodes a frame. Its payload must not exceed `FramePayloadLimitBytes`.
std::string encodeFrame(const Frame &Source);

/// Removes one frame from the front of `Bytes` and decodes it. Absent while the
/// frame is incomplete. Errors: protocol (version, kind or type unknown), too
/// large.
Result<std::optional<Frame>> extractFrame(std::string &Bytes);

} // namespace anvil

#endif // ANVIL_PEER_FRAMECODEC_H
