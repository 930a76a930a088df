#ifndef ANVIL_RELAY_RELAYREQUEST_H
#define ANVIL_RELAY_RELAYREQUEST_H

#include "Http/HttpMessage.h"
#include "Relay/RelayQuestion.h"
#include "Relay/RelayRefusal.h"

#include <cstdint>
#include <optional>
#include <string>

namespace anvil {

/// A VM's request to another one to connect it to a target: HTTP's CONNECT,
/// after whose success the bytes of both sides are passed on unchanged.
struct RelayRequest {
  /// The key of the VM that is asked. Only VMs can read it.
  std::string Key_;
  /// The VM that asks, and its name for the connection, for logs.
  std::string Vm_;
  std::string Tunnel_;
  /// The request of a caller for which the connection is opened, if any.
  std::string RequestId_;
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  /// Whether the target is asked which of its incarnations runs, once it is
  /// connected to.
  bool AsksIncarnation_ = false;
  /// Whether the target's bytes are to come in frames. A VM of an earlier
  /// release doesn't ask for them and doesn't send them.
  bool AsksFrames_ = true;
  /// What is asked of the target in place of a connection, if anything.
  std::optional<RelayQuestion> Question_{};
};

/// The header of the response in which the VM names what the target answered.
inline constexpr std::string_view RelayFindingHeader = "Relay-Finding";

HttpRequest encodeRelayRequest(const RelayRequest &Request);

/// Nothing if the request isn't one to relay, or is malformed.
std::optional<RelayRequest> decodeRelayRequest(const std::string &Method,
                                               const HttpHeaders &Headers);

/// The response that refuses to relay.
HttpReply encodeRelayRefusal(const RelayDenial &Denial);

/// What a response that refuses to relay states.
RelayDenial decodeRelayRefusal(const HttpHeaders &Headers);

} // namespace anvil

#endif // ANVIL_RELAY_RELAYREQUEST_H
