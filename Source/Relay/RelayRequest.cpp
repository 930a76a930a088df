#include "Relay/RelayRequest.h"

#include "Http/TunnelFrame.h"
#include "Kernel/EnumNames.h"
#include "Objects/Digest.h"

#include <charconv>

namespace anvil {

static constexpr std::string_view ConnectMethod = "CONNECT";

static constexpr std::string_view KeyHeader = "Relay-Key";
static constexpr std::string_view VmHeader = "Relay-Vm";
static constexpr std::string_view TunnelHeader = "Relay-Tunnel";
static constexpr std::string_view RequestHeader = "Relay-Request";
static constexpr std::string_view TargetHeader = "Relay-Target";
static constexpr std::string_view IncarnationHeader = "Relay-Incarnation";
static constexpr std::string_view ConfirmHeader = "Relay-Confirm";
static constexpr std::string_view RefusalHeader = "Relay-Refusal";

/// The status of a refusal; no byte has reached a target.
static constexpr int RefusalStatus = 503;

// Texts that come from outside are encoded, since not every byte may stand in a
// header.

HttpRequest encodeRelayRequest(const RelayRequest &Request) {
  // CONNECT names a host and a port; the target is looked up by its headers.
  HttpRequest Encoded{std::string(ConnectMethod), "target:0", {}, ""};
  Encoded.Headers_.add(KeyHeader, Request.Key_);
  Encoded.Headers_.add(VmHeader, base64Encode(Request.Vm_));
  Encoded.Headers_.add(TunnelHeader, Request.Tunnel_);
  Encoded.Headers_.add(RequestHeader, base64Encode(Request.RequestId_));
  Encoded.Headers_.add(TargetHeader, base64Encode(Request.Target_));
  Encoded.Headers_.add(IncarnationHeader, std::to_string(Request.Incarnation_));
  if (Request.AsksIncarnation_)
    Encoded.Headers_.add(ConfirmHeader, "yes");
  if (Request.AsksFrames_)
    Encoded.Headers_.add(TunnelFramingHeader, TunnelFramingVersion);
  return Encoded;
}

static std::optional<std::string> decodedText(const HttpHeaders &Headers,
                                              std::string_view Name) {
  auto Found = Headers.find(Name);
  return Found ? base64Decode(*Found) : std::nullopt;
}

std::optional<RelayRequest> decodeRelayRequest(const std::string &Method,
                                               const HttpHeaders &Headers) {
  auto Key = Headers.find(KeyHeader);
  auto Tunnel = Headers.find(TunnelHeader);
  auto Incarnation = Headers.find(IncarnationHeader);
  auto Vm = decodedText(Headers, VmHeader);
  auto RequestId = decodedText(Headers, RequestHeader);
  auto Target = decodedText(Headers, TargetHeader);
  bool IsWhole = Method == ConnectMethod && Key && Tunnel && Incarnation &&
                 Vm && RequestId && Target;
  if (!IsWhole)
    return std::nullopt;
  RelayRequest Decoded{std::string(*Key),
                       *Vm,
                       std::string(*Tunnel),
                       std::move(*RequestId),
                       *Target,
                       0,
                       Headers.find(ConfirmHeader).has_value(),
                       Headers.find(TunnelFramingHeader) ==
                           TunnelFramingVersion};
  const char *End = Incarnation->data() + Incarnation->size();
  auto [Rest, Cause] =
      std::from_chars(Incarnation->data(), End, Decoded.Incarnation_);
  if (Cause != std::errc() || Rest != End)
    return std::nullopt;
  return Decoded;
}

HttpReply encodeRelayRefusal(RelayRefusal Why) {
  return {RefusalStatus,
          {{std::string(RefusalHeader),
            std::string(enumName(Why, RelayRefusalNames))}},
          ""};
}

RelayRefusal decodeRelayRefusal(const HttpHeaders &Headers) {
  auto Named = Headers.find(RefusalHeader);
  for (const auto &[Why, Name] : RelayRefusalNames)
    if (Named == Name)
      return Why;
  return RelayRefusal::Malformed;
}

} // namespace anvil
