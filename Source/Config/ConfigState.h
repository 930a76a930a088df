#ifndef ANVIL_CONFIG_CONFIGSTATE_H
#define ANVIL_CONFIG_CONFIGSTATE_H

#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Objects/ObjectSet.h"

namespace anvil {

/// Holds the configuration revision in use on this VM. It never decreases.
class ConfigState : public Service {
public:
  static constexpr std::string_view Name = "config_state";

  ConfigState();

  std::string_view serviceName() const override { return Name; }

  /// The revision in force; revision zero has no objects.
  const SnapshotPtr &current() const { return Current_; }

  /// Applies a snapshot and returns true if its revision is higher than the one
  /// in force.
  bool accept(SnapshotPtr Candidate);

  /// Whether this VM may serve: it has held the head revision, or the highest
  /// revision known to its reachable peers.
  bool isCurrent() const { return IsCurrent_; }
  void markCurrent() { IsCurrent_ = true; }

  /// Fired with the new snapshot after each change of revision.
  Hook<const SnapshotPtr &> Changed_;

private:
  SnapshotPtr Current_;
  bool IsCurrent_ = false;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGSTATE_H
