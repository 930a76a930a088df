#ifndef ANVIL_SERVING_READROTATION_H
#define ANVIL_SERVING_READROTATION_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// Times after which other VMs of a group stand in for the one that should
/// read.
struct ReadRotationOptions {
  /// The snapshot age at which the first-ranked VM reads again.
  Duration Period_{};
  /// The additional age at which the second-ranked VM reads, so that the notice
  /// of the first one has arrived if that one still reads.
  Duration TakeoverDelay_ = std::chrono::milliseconds(300);
  /// The additional age for each further rank, up to `MaxSteps_` times.
  Duration Step_ = std::chrono::milliseconds(80);
  std::size_t MaxSteps_ = 3;
};

/// Distributes the reads of a store snapshot among VMs that notify each other
/// of what they read. There is no election: each VM reads once its snapshot is
/// older than its rank allows. A reader that fails, is cut off or is slow is
/// thus replaced, and an isolated VM reads for itself.
class ReadRotation {
public:
  /// How often a VM checks whether it has to read.
  static constexpr Duration CheckPeriod = std::chrono::milliseconds(40);

  explicit ReadRotation(ReadRotationOptions Options) : Options_(Options) {}

  /// The rank of a VM for a topic among the reachable others; zero reads first.
  /// Ranks differ by topic, so that topics are spread over the VMs.
  static std::size_t rankFor(std::string_view Topic, const std::string &Self,
                             const std::vector<std::string> &Others);

  /// The age of its snapshot at which a VM of this rank reads itself.
  Duration maxSnapshotAge(std::size_t Rank) const;

private:
  ReadRotationOptions Options_;
};

} // namespace anvil

#endif // ANVIL_SERVING_READROTATION_H
