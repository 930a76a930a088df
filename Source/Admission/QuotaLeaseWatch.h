#ifndef ANVIL_ADMISSION_QUOTALEASEWATCH_H
#define ANVIL_ADMISSION_QUOTALEASEWATCH_H

#include "Admission/QuotaRows.h"
#include "Kernel/Clock.h"

#include <string>
#include <vector>

namespace anvil {

/// Detects expired leases in a data centre's row. Clocks of different VMs
/// cannot be compared, so an observer treats a lease as expired only when it
/// has seen the same counter for the whole term and a margin by its own clock.
/// A VM that cannot renew its lease may continue on promises from all VMs that
/// it has seen in the row; an observer that it may not have seen therefore
/// waits for the longest time that promises can extend a lease.
class QuotaLeaseWatch {
public:
  QuotaLeaseWatch(Duration Term, Duration LongTerm, Duration Margin);

  /// Records the row as read at a version and returns the VMs whose lease has
  /// expired. The caller marks them as ended by compare-and-set on that
  /// version. `OwnLease` is the observer's own lease.
  std::vector<std::string> observe(const QuotaLeases &Row,
                                   std::uint64_t Version,
                                   const std::string &OwnLease, TimePoint Now);

  /// Promises to wait for a term from now on. Returns false if a write that
  /// ends the VM's lease may already be in transit to the row.
  bool promise(const std::string &Vm, TimePoint Now);

private:
  struct Observation {
    std::string Id_;
    std::uint64_t Counter_ = 0;
    TimePoint Since_{};
  };

  Duration Wait_;
  Duration LongWait_;
  std::map<std::string, Observation> Observations_;
  /// For each VM, the version checked by the pending write that ends its lease.
  std::map<std::string, std::uint64_t> PendingEnds_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTALEASEWATCH_H
