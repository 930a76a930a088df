#include "Admission/QuotaLeaseWatch.h"

namespace anvil {

/// Divisor for the largest relative difference between two clocks.
static constexpr int DriftDivisor = 250;

static Duration observationTime(Duration Term, Duration Margin) {
  return Term + Term / DriftDivisor + Margin;
}

QuotaLeaseWatch::QuotaLeaseWatch(Duration Term, Duration LongTerm,
                                 Duration Margin)
    : Wait_(observationTime(Term, Margin)),
      LongWait_(observationTime(LongTerm, Margin)) {}

std::vector<std::string> QuotaLeaseWatch::observe(const QuotaLeases &Row,
                                                  std::uint64_t Version,
                                                  const std::string &OwnLease,
                                                  TimePoint Now) {
  // A write that checks an older version can no longer take effect.
  std::erase_if(PendingEnds_,
                [&](const auto &Entry) { return Entry.second < Version; });
  const QuotaLease *Own = nullptr;
  for (const auto &[Vm, Lease] : Row)
    if (Lease.Id_ == OwnLease && !Lease.Ended_)
      Own = &Lease;
  std::vector<std::string> Expired;
  std::map<std::string, Observation> Observed;
  for (const auto &[Vm, Lease] : Row) {
    if (Lease.Ended_ || &Lease == Own)
      continue;
    Observation Current{Lease.Id_, Lease.Counter_, Now};
    auto Previous = Observations_.find(Vm);
    if (Previous != Observations_.end() &&
        Previous->second.Id_ == Current.Id_ &&
        Previous->second.Counter_ == Current.Counter_)
      Current.Since_ = Previous->second.Since_;
    // Only a VM that has seen this one in the row requests promises from it.
    bool RequestsPromises = Own && Lease.SeenVersion_ > Own->AcquiredVersion_;
    if (Now - Current.Since_ >= (RequestsPromises ? Wait_ : LongWait_))
      Expired.push_back(Vm);
    Observed[Vm] = Current;
  }
  for (const std::string &Vm : Expired)
    PendingEnds_[Vm] = Version;
  Observations_ = std::move(Observed);
  return Expired;
}

bool QuotaLeaseWatch::promise(const std::string &Vm, TimePoint Now) {
  if (PendingEnds_.contains(Vm))
    return false;
  // For a VM not observed yet, the wait starts with the first observation,
  // which is later than this promise.
  auto Found = Observations_.find(Vm);
  if (Found != Observations_.end())
    Found->second.Since_ = Now;
  return true;
}

} // namespace anvil
