#ifndef ANVIL_PLACEMENT_PERMITTYPES_H
#define ANVIL_PLACEMENT_PERMITTYPES_H

#include "Kernel/Clock.h"
#include "Requests/PermitBroker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvil {

/// Names one permit or the request for it. The VM that asks chooses it, so a
/// message that comes twice has no second effect.
struct PermitKey {
  std::string Vm_;
  /// The life of that VM; ids begin anew in each.
  std::string Incarnation_;
  std::uint64_t Id_ = 0;

  auto operator<=>(const PermitKey &) const = default;
};

/// A request for a permit while it waits at the owner.
struct QueuedRequest {
  PermitKey Key_;
  std::string Customer_;
  /// The customer's part of a contended queue, relative to others.
  double Weight_ = 1;
  std::string Class_;
  std::int64_t Priority_ = 0;
  Duration Ageing_{0};
  double Tokens_ = 1;
  AdapterRef Adapter_;
  std::string Weights_;
  TimePoint Arrived_{};
  TimePoint Deadline_{};

  /// Whether it has waited so long that it goes before higher classes.
  bool isAged(TimePoint Now) const { return Now - Arrived_ >= Ageing_; }
};

/// A permit that its VM reports as held.
struct HeldPermit {
  std::uint64_t Id_ = 0;
  AdapterRef Adapter_;
};

/// All that one VM holds of one target at a moment.
struct TargetInventory {
  std::string Vm_;
  std::string Incarnation_;
  /// Ids from this one on were not given out yet at that moment.
  std::uint64_t NextId_ = 0;
  std::vector<HeldPermit> Held_;
  /// Ids that were asked for and not answered yet.
  std::vector<std::uint64_t> Awaited_;
};

/// The owner grants a waiting request.
struct GrantAction {
  QueuedRequest Request_;
  Duration Waited_{0};
};

/// The owner gives up on a request.
struct RefuseAction {
  QueuedRequest Request_;
  Refusal Reason_;
};

/// The owner orders the engine to load an adapter version.
struct LoadAction {
  AdapterRef Adapter_;
  std::string Weights_;
};

/// The owner orders the engine to unload an adapter version.
struct UnloadAction {
  AdapterRef Adapter_;
};

/// The owner needs a fresh status before it can evict.
struct PollAction {};

using OwnerAction = std::variant<GrantAction, RefuseAction, LoadAction,
                                 UnloadAction, PollAction>;

} // namespace anvil

#endif // ANVIL_PLACEMENT_PERMITTYPES_H
