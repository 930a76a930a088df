#ifndef ANVIL_RELAY_RELAYREFUSAL_H
#define ANVIL_RELAY_RELAYREFUSAL_H

#include "Kernel/Clock.h"

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
  /// The target wants no requests from the VM for a while.
  BackingOff,
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
        {RelayRefusal::BackingOff, "backing_off"},
};

/// A refusal, and after which time another request may be granted, if known.
struct RelayDenial {
  // Most refusals name no time.
  RelayDenial(RelayRefusal Why, Duration RetryAfter = {})
      : Why_(Why), RetryAfter_(RetryAfter) {}

  RelayRefusal Why_;
  Duration RetryAfter_;
};

} // namespace anvil

#endif // ANVIL_RELAY_RELAYREFUSAL_H
