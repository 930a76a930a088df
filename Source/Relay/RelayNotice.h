#ifndef ANVIL_RELAY_RELAYNOTICE_H
#define ANVIL_RELAY_RELAYNOTICE_H

#include "Http/HttpMessage.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace anvil {

/// A VM's word to the VM that relays its requests: a target has refused one and
/// wants nothing more for a while from the VM that brings them.
struct RelayNotice {
  /// The key of the VM that is told. Only VMs can read it.
  std::string Key_;
  /// The VM that tells it.
  std::string Vm_;
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  Duration BackOff_{};
};

HttpRequest encodeRelayNotice(const RelayNotice &Notice);

/// Nothing if the request isn't a notice, or is malformed.
std::optional<RelayNotice> decodeRelayNotice(const std::string &Method,
                                             const HttpHeaders &Headers);

} // namespace anvil

#endif // ANVIL_RELAY_RELAYNOTICE_H
