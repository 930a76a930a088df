#ifndef ANVIL_RELAY_RELAYREFUSAL_H
#define ANVIL_RELAY_RELAYREFUSAL_H

#include <string_view>
#include <utility>

namespace anvil {

/// Why a VM does not relay a connection.
enum class RelayRefusal {
  /// It gave no answer.
  Silent,
  /// The request is malformed.
  Malformed,
  /// The request lacks the VM's key, or has that of an earlier process.
  Forbidden,
  /// The VM does not list the target, or lists another incarnation of it.
  Unlisted,
  /// The VM does not reach the target by its own connections.
  Unreached,
  /// The VM relays as many connections as it can.
  Full,
  Stopping,
};

inline constexpr std::pair<RelayRefusal, std::string_view> RelayRefusalNames[] =
    {
        {RelayRefusal::Silent, "silent"},
        {RelayRefusal::Malformed, "malformed"},
        {RelayRefusal::Forbidden, "forbidden"},
        {RelayRefusal::Unlisted, "unlisted"},
        {RelayRefusal::Unreached, "unreached"},
        {RelayRefusal::Full, "full"},
        {RelayRefusal::Stopping, "stopping"},
};

} // namespace anvil

#endif // ANVIL_RELAY_RELAYREFUSAL_H
