#include "Peer/FrameCodec.h"

#include "Kernel/Invariant.h"

namespace anvil {

template <class Number>
static void appendNumber(std::string &Bytes, Number Value) {
  for (int Shift = 8 * (static_cast<int>(sizeof(Number)) - 1); Shift >= 0;
       Shift -= 8)
    Bytes += static_cast<char>((Value >> Shift) & 0xff);
}

template <class Number>
static Number readNumber(std::string_view Bytes, std::size_t Offset) {
  Number Value = 0;
  for (std::size_t Index = 0; Index < sizeof(Number); ++Index)
    Value = static_cast<Number>(Value << 8) |
            static_cast<unsigned char>(Bytes[Offset + Index]);
  return Value;
}

std::string encodeFrame(const Frame &Source) {
  checkInvariant(Source.Payload_.size() <= FramePayloadLimitBytes,
                 "a frame's payload exceeds the size limit");
  std::string Bytes;
  Bytes.reserve(FrameHeaderBytes + Source.Payload_.size());
  appendNumber(Bytes, static_cast<std::uint32_t>(Source.Payload_.size()));
  appendNumber(Bytes, FrameVersion);
  appendNumber(Bytes, static_cast<std::uint8_t>(Source.Kind_));
  appendNumber(Bytes, static_cast<std::uint16_t>(Source.Type_));
  appendNumber(Bytes, Source.CorrelationId_);
  Bytes += Source.Payload_;
  return Bytes;
}

Result<std::optional<Frame>> extractFrame(std::string &Bytes) {
  if (Bytes.size() < FrameHeaderBytes)
    return std::optional<Frame>();
  auto Length = readNumber<std::uint32_t>(Bytes, 0);
  auto Version = readNumber<std::uint8_t>(Bytes, 4);
  auto Kind = readNumber<std::uint8_t>(Bytes, 5);
  auto Type = static_cast<MessageType>(readNumber<std::uint16_t>(Bytes, 6));
  if (Version != FrameVersion)
    return Error{ErrorCode::Protocol, "frame",
                 "has unknown version " + std::to_string(Version), ""};
  if (Length > FramePayloadLimitBytes)
    return Error{ErrorCode::TooLarge, "frame", "exceeds the size limit", ""};
  if (Kind > static_cast<std::uint8_t>(FrameKind::Reply))
    return Error{ErrorCode::Protocol, "frame", "has an unknown kind", ""};
  if (messageTypeName(Type) == "unknown")
    return Error{ErrorCode::Protocol, "frame", "has an unknown message type",
                 ""};
  if (Bytes.size() < FrameHeaderBytes + Length)
    return std::optional<Frame>();
  Frame Decoded;
  Decoded.Kind_ = static_cast<FrameKind>(Kind);
  Decoded.Type_ = Type;
  Decoded.CorrelationId_ = readNumber<std::uint64_t>(Bytes, 8);
  Decoded.Payload_ = Bytes.substr(FrameHeaderBytes, Length);
  Bytes.erase(0, FrameHeaderBytes + Length);
  return std::optional<Frame>(std::move(Decoded));
}

} // namespace anvil
