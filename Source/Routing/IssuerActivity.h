#ifndef ANVIL_ROUTING_ISSUERACTIVITY_H
#define ANVIL_ROUTING_ISSUERACTIVITY_H

#include "Kernel/Clock.h"

#include <optional>

namespace anvil {

/// Notices when other VMs may have taken over from this one as issuer. After a
/// start or an interruption they may still ask another one, so that this one
/// issues nothing that has to add up over all VMs until all have heard of it.
class IssuerActivity {
public:
  /// Records that this VM runs; called every `Period`, in which it also tells
  /// the other VMs that it does. True after a start or an interruption.
  bool record(Duration Period, TimePoint Now);

  /// Does the same for a request that comes before the next report.
  bool recordRequest(TimePoint Now);

  /// Until when nothing is issued.
  TimePoint heldUntil() const { return HeldUntil_; }

private:
  /// When this VM was last known to run; not set before the first time.
  std::optional<TimePoint> ActiveAt_;
  Duration Period_{};
  TimePoint HeldUntil_{};
};

} // namespace anvil

#endif // ANVIL_ROUTING_ISSUERACTIVITY_H
