#include "Entry/FleetCodec.h"

#include "Entry/FleetFields.h"
#include "Peer/BoundedUnpack.h"

namespace anvil {

/// The version of the datagram format.
static constexpr char FormatVersion = 12;

/// A datagram begins with the format version, the message's tag and the number
/// of VMs to forward it to.
static constexpr std::size_t ForwardCountOffset = 2;
static constexpr std::size_t HeaderBytes = 3;

/// Decodes the message with a tag. Tags count from one in the order of the
/// alternatives of `FleetMessage`.
template <std::size_t Index = 0>
static Result<FleetMessage> decodeTagged(std::size_t Tag,
                                         const msgpack::object &Body) {
  if constexpr (Index < std::variant_size_v<FleetMessage>) {
    using Message = std::variant_alternative_t<Index, FleetMessage>;
    if (Tag == Index + 1)
      return FleetMessage(Body.as<Message>());
    return decodeTagged<Index + 1>(Tag, Body);
  } else {
    return Error{ErrorCode::Protocol, "datagram", "is of an unknown kind", ""};
  }
}

std::string encodeFleetMessage(const FleetMessage &Message) {
  msgpack::sbuffer Buffer;
  const char Header[HeaderBytes] = {FormatVersion,
                                    static_cast<char>(Message.index() + 1), 0};
  Buffer.write(Header, sizeof(Header));
  std::visit([&](const auto &Given) { msgpack::pack(Buffer, Given); }, Message);
  return std::string(Buffer.data(), Buffer.size());
}

std::size_t forwardCountOf(std::string_view Bytes) {
  bool HasHeader = Bytes.size() >= HeaderBytes && Bytes[0] == FormatVersion;
  return HasHeader ? static_cast<unsigned char>(Bytes[ForwardCountOffset]) : 0;
}

void setForwardCount(std::string &Bytes, std::size_t Count) {
  Bytes[ForwardCountOffset] = static_cast<char>(Count);
}

std::string encodeTableRows(const std::vector<TableRow> &Rows) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Rows);
  return std::string(Buffer.data(), Buffer.size());
}

Result<std::vector<TableRow>> decodeTableRows(std::string_view Bytes) {
  try {
    return unpackBounded(Bytes).get().as<std::vector<TableRow>>();
  } catch (const std::exception &) {
    // msgpack throws for any malformed input.
    return Error{ErrorCode::Protocol, "rows", "can't be read", ""};
  }
}

Result<FleetMessage> decodeFleetMessage(std::string_view Bytes) {
  Error Problem{ErrorCode::Protocol, "datagram", "can't be read", ""};
  if (Bytes.size() <= HeaderBytes || Bytes[0] != FormatVersion)
    return Problem;
  try {
    auto Handle = unpackBounded(Bytes.substr(HeaderBytes));
    return decodeTagged(static_cast<std::size_t>(Bytes[1]), Handle.get());
  } catch (const std::exception &) {
    // msgpack throws for any malformed input.
    return Problem;
  }
}

} // namespace anvil
