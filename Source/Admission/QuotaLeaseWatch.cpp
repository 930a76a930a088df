#include "Admission/QuotaLeaseWatch.h"

namespace anvil {

/// Divisor for the largest relative difference between two clocks.
static constexpr int DriftDivisor = 250;

static Duration waitFor(Duration Term, Duration Margin) {
  return Term + Term / DriftDivisor + Margin;
}

QuotaLeaseWatch::QuotaLeaseWatch(Duration Term, Duration LongTerm,
                                 Duration Margin)
    : Wait_(waitFor(Term, Margin)), LongWait_(waitFor(LongTerm, Margin)) {}

std::vector<std::string> QuotaLeaseWatch::see(const QuotaLeases &Row,
                                              std::uint64_t Version,
                                              const std::string &Lease,
                                              TimePoint Now) {
  // A write that checks an older version can no longer take effect.
  std::erase_if(Ending_,
                [&](const auto &Entry) { return Entry.second < Version; });
  const QuotaLease *Own = nullptr;
  for (const auto &[Vm, Known] : Row)
    if (Known.Id_ == Lease && !Known.Ended_)
      Own = &Known;
  std::vector<std::string> Over;
  std::map<std::string, Sight> Seen;
  for (const auto &[Vm, Known] : Row) {
    if (Known.Ended_ || &Known == Own)
      continue;
    Sight Current{Known.Id_, Known.Counter_, Now};
    auto Before = Seen_.find(Vm);
    if (Before != Seen_.end() && Before->second.Id_ == Current.Id_ &&
        Before->second.Counter_ == Current.Counter_)
      Current.Since_ = Before->second.Since_;
    // Only a VM that has seen this one in the row requests promises from it.
    bool AsksThis = Own && Known.Seen_ > Own->Joined_;
    if (Now - Current.Since_ >= (AsksThis ? Wait_ : LongWait_))
      Over.push_back(Vm);
    Seen[Vm] = Current;
  }
  for (const std::string &Vm : Over)
    Ending_[Vm] = Version;
  Seen_ = std::move(Seen);
  return Over;
}

bool QuotaLeaseWatch::promise(const std::string &Vm, TimePoint Now) {
  if (Ending_.contains(Vm))
    return false;
  // Without an earlier observation the wait starts with the first one, which is
  // later.
  auto Found = Seen_.find(Vm);
  if (Found != Seen_.end())
    Found->second.Since_ = Now;
  return true;
}

} // namespace anvil
