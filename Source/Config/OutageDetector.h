#ifndef ANVIL_CONFIG_OUTAGEDETECTOR_H
#define ANVIL_CONFIG_OUTAGEDETECTOR_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Determines whether the platform is unreachable for all VMs, so that no VM
/// can have published. Each known VM states that it cannot reach the platform
/// and which revision it holds. A VM holds its own publication before it
/// reports it as accepted, so the statements together are evidence for the time
/// of the oldest one.
class OutageDetector {
public:
  /// The statement of a VM, or of a data centre as a whole.
  struct Statement {
    std::uint64_t Revision_ = 0;
    /// The time for which the statement holds, on this VM's clock.
    TimePoint At_;
  };

  /// Records the latest statement of a VM in this data centre. It is absent
  /// when the VM reaches the platform, or when it started after the outage
  /// began and has never read the head.
  void updateVm(const std::string &Vm, std::optional<Statement> Latest);

  /// Records that a VM shut down in an orderly way with that revision.
  void recordGoodbye(const std::string &Vm, std::uint64_t Revision);

  /// Records the latest statement for a whole remote data centre.
  void updateDataCentre(const std::string &DataCentre,
                        std::optional<Statement> Latest);

  /// The time at which no VM of this data centre reached the platform and none
  /// held a revision above `Held`. Absent when one of `OtherVms` has not stated
  /// this.
  std::optional<TimePoint>
  ownOutageTime(const std::vector<std::string> &OtherVms, std::uint64_t Held,
                std::optional<TimePoint> Self) const;

  /// The time at which the same was true in every data centre.
  std::optional<TimePoint>
  globalOutageTime(std::optional<TimePoint> Own,
                   const std::vector<std::string> &OtherDataCentres,
                   std::uint64_t Held) const;

private:
  std::map<std::string, Statement> VmStatements_;
  std::map<std::string, std::uint64_t> GoodbyeRevisions_;
  std::map<std::string, Statement> DataCentreStatements_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_OUTAGEDETECTOR_H
