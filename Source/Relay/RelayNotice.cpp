#include "Relay/RelayNotice.h"

#include "Objects/Digest.h"
#include "Relay/RelayHeaders.h"

namespace anvil {

static constexpr std::string_view NoticeMethod = "NOTIFY";

static constexpr std::string_view BackOffHeader = "Relay-Back-Off-Ms";

HttpRequest encodeRelayNotice(const RelayNotice &Notice) {
  HttpRequest Encoded{std::string(NoticeMethod), "/back-off", {}, ""};
  Encoded.Headers_.add(RelayKeyHeader, Notice.Key_);
  Encoded.Headers_.add(RelayVmHeader, base64Encode(Notice.Vm_));
  Encoded.Headers_.add(RelayTargetHeader, base64Encode(Notice.Target_));
  Encoded.Headers_.add(RelayIncarnationHeader,
                       std::to_string(Notice.Incarnation_));
  Encoded.Headers_.add(BackOffHeader,
                       std::to_string(toMillis(Notice.BackOff_)));
  return Encoded;
}

std::optional<RelayNotice> decodeRelayNotice(const std::string &Method,
                                             const HttpHeaders &Headers) {
  auto Key = Headers.find(RelayKeyHeader);
  auto Vm = decodedText(Headers, RelayVmHeader);
  auto Target = decodedText(Headers, RelayTargetHeader);
  auto Incarnation = decodedNumber(Headers, RelayIncarnationHeader);
  auto BackOff = decodedMillis(Headers, BackOffHeader);
  bool IsWhole =
      Method == NoticeMethod && Key && Vm && Target && Incarnation && BackOff;
  if (!IsWhole)
    return std::nullopt;
  return RelayNotice{std::string(*Key), std::move(*Vm), std::move(*Target),
                     *Incarnation, *BackOff};
}

} // namespace anvil
