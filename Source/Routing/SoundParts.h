#ifndef ANVIL_ROUTING_SOUNDPARTS_H
#define ANVIL_ROUTING_SOUNDPARTS_H

#include "Routing/PartReport.h"

#include <optional>
#include <unordered_map>

namespace anvil {

/// Remembers which parts of prompts have worked, with the time at which the
/// latest request that proved it was sent. Keeps between `MaxParts` and twice
/// as many of the parts used last.
class SoundParts {
public:
  explicit SoundParts(std::size_t MaxParts) : MaxParts_(MaxParts) {}

  void record(PartId Part, TimePoint SentAt);

  /// When the latest request was sent that proved the part sound; nothing if
  /// none is remembered.
  std::optional<TimePoint> lastSent(PartId Part) const;

private:
  std::size_t MaxParts_;
  std::unordered_map<PartId, TimePoint> Recent_;
  std::unordered_map<PartId, TimePoint> Earlier_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_SOUNDPARTS_H
