#ifndef ANVIL_TESTS_INTEGRATION_SOAKPLAN_H
#define ANVIL_TESTS_INTEGRATION_SOAKPLAN_H

#include "Integration/Process.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// What a soak does to a VM, to a target or to the system.
enum class SoakAction {
  Terminate,
  TerminateAndStart,
  Hangup,
  Kill,
  Freeze,
  Thaw,
  CrashTarget,
  StartTarget,
  DrainTarget,
  RemoveTarget,
  ReturnTarget,
  ChangeKeys,
  ChangeRoutes,
  NameVersion,
  CutStore,
  SlowStore,
  HealStore,
  BeginEndlessTarget,
  EndEndlessTarget,
  EndlessCallers
};

std::string_view nameOf(SoakAction Action);

struct SoakEvent {
  /// The time since the start of the soak.
  Millis At_{0};
  SoakAction Action_ = SoakAction::Hangup;
  /// The VM or target; empty for changes of the system.
  std::string Subject_;
};

/// The size of a soak and what it is drawn from.
struct SoakOptions {
  std::uint64_t Seed_ = 1;
  Millis Length_{20000};
  int Vms_ = 3;
  int CallersPerVm_ = 6;
  /// Whether callers without a key send requests that don't end.
  bool HasEndlessCallers_ = false;
  /// Whether VMs are started again while they still stop.
  bool HasEarlyStarts_ = false;
  /// Where the files of a failed soak are kept.
  std::string KeptFolder_;
};

/// Draws the events of a soak, in order of time. Those of different subjects
/// overlap.
std::vector<SoakEvent> drawSoak(const SoakOptions &Options);

/// The target that sends without end while a soak says so.
std::string endlessTargetOf(const SoakOptions &Options);

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_SOAKPLAN_H
