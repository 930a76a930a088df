#ifndef ANVIL_CONFIG_OUTAGEQUORUM_H
#define ANVIL_CONFIG_OUTAGEQUORUM_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Decides from what all VMs say whether nobody can have published: each known
/// VM states that it does not reach the platform and which revision it holds.
/// A VM learns of what it published itself before it calls it accepted, so
/// the statements together are evidence at the moment of the oldest of them.
class OutageQuorum {
public:
  /// What a VM, or a data centre as a whole, said.
  struct Statement {
    std::uint64_t Revision_ = 0;
    /// The moment at which it held, on this VM's clock.
    TimePoint At_;
  };

  /// Notes what a VM of this data centre said last; nothing when it reaches the
  /// platform, or began after the outage and so may not state anything.
  void noteVm(const std::string &Vm, std::optional<Statement> Said);

  /// Notes that a VM ended in good order with that revision.
  void noteLeft(const std::string &Vm, std::uint64_t Revision);

  /// Notes what a representative said for its whole data centre.
  void noteDataCentre(const std::string &DataCentre,
                      std::optional<Statement> Said);

  /// The moment at which no VM of this data centre reached the platform and
  /// none held more than `Held`. Absent when one of `Others` has not said so.
  std::optional<TimePoint> ownDataCentre(const std::vector<std::string> &Others,
                                         std::uint64_t Held,
                                         std::optional<TimePoint> Self) const;

  /// The moment at which that held in every data centre.
  std::optional<TimePoint>
  everywhere(std::optional<TimePoint> Own,
             const std::vector<std::string> &OtherDataCentres,
             std::uint64_t Held) const;

private:
  std::map<std::string, Statement> Vms_;
  std::map<std::string, std::uint64_t> Left_;
  std::map<std::string, Statement> DataCentres_;
};

} // namespace anvil

#endif // ANVIL_CONFIG_OUTAGEQUORUM_H
