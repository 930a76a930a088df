#ifndef ANVIL_ROUTING_PLACETYPES_H
#define ANVIL_ROUTING_PLACETYPES_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <vector>

namespace anvil {

/// What a VM says of its places at a target in each message about them, so that
/// a lost message is made good by the next one.
struct PlacesInUse {
  /// The numbers of the requests for places that were granted and aren't
  /// released, and of those without a reply.
  std::vector<std::uint64_t> Held_;
  std::vector<std::uint64_t> Awaited_;
};

/// What a VM's request for a place says besides the target. A place is for one
/// request in flight at a target that falls over when it must reject too many.
struct PlaceNeed {
  /// The requests that the target runs at a time; zero if no place is needed.
  int Slots_ = 0;
  /// The rejections per second that it survives.
  double Rejections_ = 0;
  /// When the place is free again if nothing is heard of the VM.
  Duration Lasts_{};
  PlacesInUse InUse_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PLACETYPES_H
