#ifndef ANVIL_RELAY_RELAYCHOICE_H
#define ANVIL_RELAY_RELAYCHOICE_H

#include "Kernel/Clock.h"
#include "Relay/RelayRefusal.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// A VM through which targets may be reached.
struct RelayCandidate {
  std::string Vm_;
  bool SameDataCentre_ = false;
};

/// How VMs are chosen to relay connections.
struct RelayChoiceOptions {
  /// How many VMs are asked about one target at a time.
  std::size_t MaxAsked_ = 4;
  /// For how long a VM that could relay nothing is asked after all others, and
  /// one that didn't reach a target.
  Duration RefusalTime_ = std::chrono::milliseconds(1000);
  Duration UnreachedTime_ = std::chrono::milliseconds(2000);
};

/// Chooses the VMs that this VM asks to relay a connection: those of its own
/// data centre first, and among them those that relay the fewest of its
/// connections. VMs that refused or didn't reach a target lately come last.
class RelayChoice {
public:
  explicit RelayChoice(RelayChoiceOptions Options = {}) : Options_(Options) {}

  /// The VMs to ask, in this order. `Random` numbers the candidates' places
  /// among equals.
  std::vector<std::string> order(const std::vector<RelayCandidate> &Candidates,
                                 const std::vector<double> &Random,
                                 TimePoint Now) const;

  /// Records how a VM answered.
  void recordOpened(const std::string &Vm);
  void recordRefused(const std::string &Vm, RelayRefusal Why, TimePoint Now);

  /// Records that a connection through a VM has ended.
  void recordClosed(const std::string &Vm);

private:
  struct KnownVm {
    std::size_t Open_ = 0;
    TimePoint LastResortUntil_{};
  };

  RelayChoiceOptions Options_;
  std::map<std::string, KnownVm> Vms_;
};

} // namespace anvil

#endif // ANVIL_RELAY_RELAYCHOICE_H
