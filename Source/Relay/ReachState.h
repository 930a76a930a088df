#ifndef ANVIL_RELAY_REACHSTATE_H
#define ANVIL_RELAY_REACHSTATE_H

#include <string_view>
#include <utility>

namespace anvil {

/// How a VM reaches a target.
enum class ReachState {
  /// By connections of its own.
  Direct,
  /// Not by its own; other VMs are being asked.
  Seeking,
  /// Through another VM.
  Relayed,
  /// Neither by its own connections nor through any VM that was asked.
  Unreachable,
};

inline constexpr std::pair<ReachState, std::string_view> ReachStateNames[] = {
    {ReachState::Direct, "direct"},
    {ReachState::Seeking, "seeking"},
    {ReachState::Relayed, "relayed"},
    {ReachState::Unreachable, "unreachable"},
};

} // namespace anvil

#endif // ANVIL_RELAY_REACHSTATE_H
