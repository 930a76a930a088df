#ifndef ANVIL_ADMISSION_QUOTALEASEWATCH_H
#define ANVIL_ADMISSION_QUOTALEASEWATCH_H

#include "Admission/QuotaRows.h"
#include "Kernel/Clock.h"

#include <string>
#include <vector>

namespace anvil {

/// Watches the leases of a data centre's row. Clocks of two VMs don't compare,
/// so a lease is over for an observer only when it has seen the same counter
/// for the whole term and a margin by its own clock. A VM that can't renew may
/// go on by the promises of all VMs that it has seen in the row; an observer
/// that it may not have seen waits as long as promises can keep a lease.
class QuotaLeaseWatch {
public:
  QuotaLeaseWatch(Duration Term, Duration LongTerm, Duration Margin);

  /// Takes in the row as read at a version and gives the VMs whose lease is
  /// over. The caller removes them by compare-and-set on that version. `Lease`
  /// is the observer's own.
  std::vector<std::string> see(const QuotaLeases &Row, std::uint64_t Version,
                               const std::string &Lease, TimePoint Now);

  /// Promises to wait for a term from now on; false when an end of the VM's
  /// lease is on its way to the row.
  bool promise(const std::string &Vm, TimePoint Now);

private:
  struct Sight {
    std::string Id_;
    std::uint64_t Counter_ = 0;
    TimePoint Since_{};
  };

  Duration Wait_;
  Duration LongWait_;
  std::map<std::string, Sight> Seen_;
  /// Ends on their way, by the version that they check.
  std::map<std::string, std::uint64_t> Ending_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTALEASEWATCH_H
