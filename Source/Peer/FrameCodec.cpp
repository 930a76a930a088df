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

std::string encodeFrame(const Frame &Given) {
  checkInvariant(Given.Payload_.size() <= FramePayloadLimitBytes,
                 "a frame's payload is over the limit");
  std::string Bytes;
  Bytes.reserve(FrameHeadBytes + Given.Payload_.size());
  appendNumber(Bytes, static_cast<std::uint32_t>(Given.Payload_.size()));
  appendNumber(Bytes, FrameVersion);
  appendNumber(Bytes, static_cast<std::uint8_t>(Given.Kind_));
  appendNumber(Bytes, static_cast<std::uint16_t>(Given.Type_));
  appendNumber(Bytes, Given.Correlation_);
  Bytes += Given.Payload_;
  return Bytes;
}

Result<std::optional<Frame>> takeFrame(std::string &Bytes) {
  if (Bytes.size() < FrameHeadBytes)
    return std::optional<Frame>();
  auto Length = readNumber<std::uint32_t>(Bytes, 0);
  auto Version = readNumber<std::uint8_t>(Bytes, 4);
  auto Kind = readNumber<std::uint8_t>(Bytes, 5);
  auto Type = static_cast<MessageType>(readNumber<std::uint16_t>(Bytes, 6));
  if (Version != FrameVersion)
    return Error{ErrorCode::Protocol, "frame",
                 "has the unknown version " + std::to_string(Version), ""};
  if (Length > FramePayloadLimitBytes)
    return Error{ErrorCode::TooLarge, "frame", "is over the size limit", ""};
  if (Kind > static_cast<std::uint8_t>(FrameKind::Reply))
    return Error{ErrorCode::Protocol, "frame", "is of an unknown kind", ""};
  if (messageTypeName(Type) == "unknown")
    return Error{ErrorCode::Protocol, "frame", "has an unknown message type",
                 ""};
  if (Bytes.size() < FrameHeadBytes + Length)
    return std::optional<Frame>();
  Frame Taken;
  Taken.Kind_ = static_cast<FrameKind>(Kind);
  Taken.Type_ = Type;
  Taken.Correlation_ = readNumber<std::uint64_t>(Bytes, 8);
  Taken.Payload_ = Bytes.substr(FrameHeadBytes, Length);
  Bytes.erase(0, FrameHeadBytes + Length);
  return std::optional<Frame>(std::move(Taken));
}

} // namespace anvil
