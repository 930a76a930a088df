#ifndef ANVIL_ROUTING_PARTREPORT_H
#define ANVIL_ROUTING_PARTREPORT_H

#include "Kernel/Clock.h"
#include "Routing/CrashTracker.h"

#include <cstdint>
#include <map>
#include <vector>

namespace anvil {

/// Identifies a part of prompts that requests share: a hash of the part's id.
using PartId = std::uint64_t;

/// A crash of a target as one VM reports it.
struct PartCrash {
  TargetInstance Crashed_;
  /// How long ago it was noticed.
  Duration Age_{};
  /// The parts of the VM's requests that may have caused it, and whether the VM
  /// had seen the part work before.
  std::map<PartId, bool> Parts_;
};

/// A quarantined part as one VM reports it.
struct PartQuarantineReport {
  Duration Remaining_{};
  /// How long ago the first crash was noticed that led to it.
  Duration EvidenceAge_{};
  /// Whether other parts might explain the crashes as well.
  bool IsInDoubt_ = false;
};

/// What VMs tell each other about parts of prompts that crash targets.
struct PartReport {
  std::vector<PartCrash> Crashes_;
  /// Suspected parts that have proved sound.
  std::vector<PartId> Sound_;
  std::map<PartId, PartQuarantineReport> Quarantined_;

  bool empty() const {
    return Crashes_.empty() && Sound_.empty() && Quarantined_.empty();
  }
};

} // namespace anvil

#endif // ANVIL_ROUTING_PARTREPORT_H
