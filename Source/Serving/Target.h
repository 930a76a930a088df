#ifndef ANVIL_SERVING_TARGET_H
#define ANVIL_SERVING_TARGET_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace anvil {

/// Whether a target accepts requests, as it reports itself.
enum class TargetState { Ready, Draining };

inline constexpr std::pair<TargetState, std::string_view> TargetStateNames[] = {
    {TargetState::Ready, "ready"},
    {TargetState::Draining, "draining"},
};

/// Adapter versions on a target, by adapter name. Versions start at one.
using AdapterVersions = std::map<std::string, std::uint64_t>;

/// A base model on a target.
struct HeldModel {
  std::uint64_t Version_ = 0;
  AdapterVersions Adapters_;
};

/// A target's own entry in the platform's registry.
struct RegisteredTarget {
  std::string Id_;
  /// The start time of the process; a new value is a new incarnation.
  std::int64_t Incarnation_ = 0;
  std::string Service_;
  /// The version of its software, which has no order; empty if not stated.
  std::string SoftwareVersion_;
  std::string Address_;
  std::string DataCentre_;
  int Slots_ = 0;
  TargetState State_ = TargetState::Ready;
  /// The time until it terminates, if it is shutting down.
  std::optional<Duration> Remaining_;
  /// How much longer it is cold after its start, as it stated at its last
  /// write; zero if it stated that it is warm.
  std::optional<Duration> ColdRemaining_;
  /// The number of orders that it had accepted.
  std::uint64_t OrdersAccepted_ = 0;
  std::map<std::string, HeldModel> Models_;
};

/// Whether the target's entry states that it is cold.
inline bool isCold(const RegisteredTarget &Entry) {
  return Entry.ColdRemaining_.value_or(Duration::zero()) > Duration::zero();
}

/// An engine's reply to a state query. It may be some hundred milliseconds old.
struct EngineReport {
  /// The start time of the process that replied, if it states it.
  std::optional<std::int64_t> Incarnation_;
  bool Busy_ = false;
  std::uint64_t OrdersAccepted_ = 0;
  int Running_ = 0;
  std::map<std::string, HeldModel> Models_;
  /// Adapters that are being loaded, by model.
  std::map<std::string, AdapterVersions> Loading_;
};

} // namespace anvil

#endif // ANVIL_SERVING_TARGET_H
