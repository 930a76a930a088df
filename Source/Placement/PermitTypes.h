#ifndef ANVIL_PLACEMENT_PERMITTYPES_H
#define ANVIL_PLACEMENT_PERMITTYPES_H

#include "Kernel/Clock.h"
#include "Requests/PermitBroker.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvil {

/// Identifies a permit and the request for it. The requesting VM chooses it, so
/// a repeated message has no second effect.
struct PermitKey {
  std::string Vm_;
  /// The incarnation of that VM; ids start again in each one.
  std::string Incarnation_;
  std::uint64_t Id_ = 0;

  auto operator<=>(const PermitKey &) const = default;
};

/// A permit request in the owner's queue.
struct QueuedRequest {
  PermitKey Key_;
  std::string Customer_;
  /// The customer's share of a contended queue, relative to other customers.
  double Weight_ = 1;
  std::string Class_;
  std::int64_t Priority_ = 0;
  Duration Ageing_{0};
  double Tokens_ = 1;
  AdapterRef Adapter_;
  std::string Weights_;
  TimePoint Arrived_{};
  TimePoint Deadline_{};

  /// Whether it has waited past its ageing bound and so precedes higher
  /// classes.
  bool isAged(TimePoint Now) const { return Now - Arrived_ >= Ageing_; }
};

/// A permit that a VM reports as held.
struct HeldPermit {
  std::uint64_t Id_ = 0;
  AdapterRef Adapter_;
};

/// One VM's permits and pending requests at a target at one moment.
struct TargetInventory {
  std::string Vm_;
  std::string Incarnation_;
  /// The next id to be assigned at that moment.
  std::uint64_t NextId_ = 0;
  std::vector<HeldPermit> Held_;
  /// Ids that were requested and have no reply yet.
  std::vector<std::uint64_t> Pending_;
};

/// The owner grants a waiting request.
struct GrantAction {
  QueuedRequest Request_;
  Duration Waited_{0};
};

/// The owner refuses a waiting request.
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

/// The owner needs a current engine status before it can evict.
struct PollAction {};

using OwnerAction = std::variant<GrantAction, RefuseAction, LoadAction,
                                 UnloadAction, PollAction>;

} // namespace anvil

#endif // ANVIL_PLACEMENT_PERMITTYPES_H
