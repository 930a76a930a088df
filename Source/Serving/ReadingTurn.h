#ifndef ANVIL_SERVING_READINGTURN_H
#define ANVIL_SERVING_READINGTURN_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// How soon the VMs of a group stand in for one that should read.
struct ReadingTurnOptions {
  /// The age at which the first VM in line reads again.
  Duration Period_{};
  /// How much older the second in line lets its knowledge become, so that the
  /// first one's notice has arrived if it still reads.
  Duration Takeover_ = std::chrono::milliseconds(300);
  /// What each further place in line adds, up to `MostSteps_` times.
  Duration Step_ = std::chrono::milliseconds(80);
  std::size_t MostSteps_ = 3;
};

/// Shares the reading of one thing among VMs that tell each other what they
/// read. Nobody is elected: each VM reads once its knowledge has become older
/// than its place in line allows, so a reader that dies, is cut off or is slow
/// is stood in for, and a VM that hears nobody reads for itself.
class ReadingTurn {
public:
  /// How often a VM looks whether it has to read.
  static constexpr Duration CheckPeriod = std::chrono::milliseconds(40);

  explicit ReadingTurn(ReadingTurnOptions Options) : Options_(Options) {}

  /// The place of a VM in line for a topic among the others that are heard;
  /// zero is first. Topics are spread over the VMs.
  static std::size_t placeInLine(std::string_view Topic,
                                 const std::string &Self,
                                 const std::vector<std::string> &Others);

  /// How old knowledge may become before a VM at this place reads itself.
  Duration patience(std::size_t Place) const;

private:
  ReadingTurnOptions Options_;
};

} // namespace anvil

#endif // ANVIL_SERVING_READINGTURN_H
