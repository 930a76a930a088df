#ifndef ANVIL_STREAMS_STREAMORIGIN_H
#define ANVIL_STREAMS_STREAMORIGIN_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <string>

namespace anvil {

/// The software that began a stream. What two versions write doesn't fit
/// together, so a stream goes on only at targets with its origin.
struct StreamOrigin {
  std::string Service_;
  /// The version of the target's software as its entry states it.
  std::string Version_;

  bool operator==(const StreamOrigin &) const = default;
};

/// The digest of the id of the request that brought a stream's first event.
using StreamKey = std::uint64_t;

StreamKey streamKey(const std::string &RequestId);

/// Where a stream began, kept for as long as its caller may take it up again.
struct StreamRecord {
  StreamKey Key_ = 0;
  StreamOrigin Origin_;
  Duration KeepFor_{};
};

} // namespace anvil

#endif // ANVIL_STREAMS_STREAMORIGIN_H
