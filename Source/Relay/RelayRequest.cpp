#include "Relay/RelayRequest.h"

#include "Http/TunnelFrame.h"
#include "Kernel/EnumNames.h"
#include "Objects/Digest.h"
#include "Relay/RelayHeaders.h"

namespace anvil {

static constexpr std::string_view ConnectMethod = "CONNECT";

static constexpr std::string_view TunnelHeader = "Relay-Tunnel";
static constexpr std::string_view RequestHeader = "Relay-Request";
static constexpr std::string_view ConfirmHeader = "Relay-Confirm";
static constexpr std::string_view RefusalHeader = "Relay-Refusal";
static constexpr std::string_view RetryHeader = "Relay-Retry-Ms";

/// The status of a refusal; no byte has reached a target.
static constexpr int RefusalStatus = 503;

HttpRequest encodeRelayRequest(const RelayRequest &Request) {
  // CONNECT names a host and a port; the target is looked up by its headers.
  HttpRequest Encoded{std::string(ConnectMethod), "target:0", {}, ""};
  Encoded.Headers_.add(RelayKeyHeader, Request.Key_);
  Encoded.Headers_.add(RelayVmHeader, base64Encode(Request.Vm_));
  Encoded.Headers_.add(TunnelHeader, Request.Tunnel_);
  Encoded.Headers_.add(RequestHeader, base64Encode(Request.RequestId_));
  Encoded.Headers_.add(RelayTargetHeader, base64Encode(Request.Target_));
  Encoded.Headers_.add(RelayIncarnationHeader,
                       std::to_string(Request.Incarnation_));
  if (Request.AsksIncarnation_)
    Encoded.Headers_.add(ConfirmHeader, "yes");
  if (Request.AsksFrames_)
    Encoded.Headers_.add(TunnelFramingHeader, TunnelFramingVersion);
  if (Request.Question_)
    addRelayQuestion(Encoded.Headers_, *Request.Question_);
  return Encoded;
}

std::optional<RelayRequest> decodeRelayRequest(const std::string &Method,
                                               const HttpHeaders &Headers) {
  auto Key = Headers.find(RelayKeyHeader);
  auto Tunnel = Headers.find(TunnelHeader);
  auto Incarnation = decodedNumber(Headers, RelayIncarnationHeader);
  auto Vm = decodedText(Headers, RelayVmHeader);
  auto RequestId = decodedText(Headers, RequestHeader);
  auto Target = decodedText(Headers, RelayTargetHeader);
  bool IsWhole = Method == ConnectMethod && Key && Tunnel && Incarnation &&
                 Vm && RequestId && Target;
  if (!IsWhole)
    return std::nullopt;
  return RelayRequest{std::string(*Key),
                      std::move(*Vm),
                      std::string(*Tunnel),
                      std::move(*RequestId),
                      std::move(*Target),
                      *Incarnation,
                      Headers.find(ConfirmHeader).has_value(),
                      Headers.find(TunnelFramingHeader) == TunnelFramingVersion,
                      decodeRelayQuestion(Headers)};
}

HttpReply encodeRelayRefusal(const RelayDenial &Denial) {
  HttpReply Reply{RefusalStatus, {}, ""};
  Reply.Headers_.add(RefusalHeader, enumName(Denial.Why_, RelayRefusalNames));
  if (Denial.RetryAfter_ > Duration::zero())
    Reply.Headers_.add(RetryHeader,
                       std::to_string(toMillis(Denial.RetryAfter_)));
  return Reply;
}

RelayDenial decodeRelayRefusal(const HttpHeaders &Headers) {
  auto Named = Headers.find(RefusalHeader);
  Duration RetryAfter =
      decodedMillis(Headers, RetryHeader).value_or(Duration::zero());
  for (const auto &[Why, Name] : RelayRefusalNames)
    if (Named == Name)
      return {Why, RetryAfter};
  return RelayRefusal::Malformed;
}

} // namespace anvil
