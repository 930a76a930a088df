#ifndef ANVIL_SERVING_TARGET_H
#define ANVIL_SERVING_TARGET_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace anvil {

/// What a target says of its willingness to take requests.
enum class TargetState { Ready, Draining };

inline constexpr std::pair<TargetState, std::string_view> TargetStateNames[] = {
    {TargetState::Ready, "ready"},
    {TargetState::Draining, "draining"},
};

/// The versions that a target holds, by adapter name. Versions start at one.
using AdapterVersions = std::map<std::string, std::uint64_t>;

/// A base model on a target.
struct HeldModel {
  std::uint64_t Version_ = 0;
  AdapterVersions Adapters_;
};

/// A target's own entry in the platform's list.
struct RegisteredTarget {
  std::string Id_;
  /// When the process started; a new value is a new incarnation.
  std::int64_t Incarnation_ = 0;
  std::string Service_;
  std::string Address_;
  std::string DataCentre_;
  int Slots_ = 0;
  TargetState State_ = TargetState::Ready;
  /// How long it will still be there, when it has been told so.
  std::optional<Duration> Remaining_;
  /// How many orders it had accepted.
  std::uint64_t OrdersAccepted_ = 0;
  std::map<std::string, HeldModel> Models_;
};

/// What an engine answers when it is asked for its state. It may be some
/// hundred milliseconds old.
struct EngineReport {
  bool Busy_ = false;
  std::uint64_t OrdersAccepted_ = 0;
  int Running_ = 0;
  std::map<std::string, HeldModel> Models_;
  /// Adapters that are being loaded, by model.
  std::map<std::string, AdapterVersions> Loading_;
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGET_H
