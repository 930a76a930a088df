#ifndef ANVIL_CONFIG_CONFIGSTATE_H
#define ANVIL_CONFIG_CONFIGSTATE_H

#include "Kernel/Hook.h"
#include "Kernel/ServiceRegistry.h"
#include "Objects/ObjectSet.h"

namespace anvil {

/// The revision that this VM works by. It never goes back to a lower one.
class ConfigState : public Service {
public:
  static constexpr std::string_view Name = "config_state";

  ConfigState();

  std::string_view serviceName() const override { return Name; }

  /// The revision in force; revision zero has no objects.
  const SnapshotPtr &current() const { return Current_; }

  /// Takes a revision if it is higher than the one in force. Whether it was.
  bool accept(SnapshotPtr Offered);

  /// Whether this VM may serve: it knows that it has had the head, or the
  /// highest revision that it could learn of.
  bool isCurrent() const { return IsCurrent_; }
  void markCurrent() { IsCurrent_ = true; }

  /// Fired with the new snapshot after each change.
  Hook<const SnapshotPtr &> Changed_;

private:
  SnapshotPtr Current_;
  bool IsCurrent_ = false;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGSTATE_H
