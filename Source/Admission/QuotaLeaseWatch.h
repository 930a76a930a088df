#ifndef ANVIL_ADMISSION_QUOTALEASEWATCH_H
#define ANVIL_ADMISSION_QUOTALEASEWATCH_H

#include "Admission/QuotaRows.h"
#include "Kernel/Clock.h"

#include <string>
#include <vector>

namespace anvil {

/// Watches the leases of a data centre's row. Clocks of two VMs don't compare,
/// so a lease is over for an observer only when it has seen the same counter
/// for the whole term and a margin by its own clock.
class QuotaLeaseWatch {
public:
  explicit QuotaLeaseWatch(Duration TermAndMargin)
      : TermAndMargin_(TermAndMargin) {}

  /// Takes in the row as read and gives the VMs whose lease is over. The caller
  /// removes them by compare-and-set on the version that it read.
  std::vector<std::string> see(const QuotaLeases &Row, TimePoint Now);

private:
  struct Sight {
    std::string Id_;
    std::uint64_t Counter_ = 0;
    TimePoint Since_{};
  };

  Duration TermAndMargin_;
  std::map<std::string, Sight> Seen_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_QUOTALEASEWATCH_H
