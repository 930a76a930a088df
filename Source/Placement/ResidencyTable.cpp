#include "Placement/ResidencyTable.h"

#include "Kernel/Invariant.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The record of an absent adapter is removed below this demand.
static constexpr double MinTrackedDemand = 0.01;

/// The weight of the latest load in the mean load time.
static constexpr double LoadTimeWeight = 0.25;

/// The maximum number of doublings of the back-off.
static constexpr int MaxDoublings = 10;

AdapterRef adapterFromText(const std::string &Text) {
  auto At = Text.rfind('@');
  if (At == std::string::npos)
    return {Text, ""};
  return {Text.substr(0, At), Text.substr(At + 1)};
}

ResidencyTable::ResidencyTable(PlacementTerms Terms, TimePoint Now)
    : Terms_(Terms), CreatedAt_(Now) {}

AdapterRecord &ResidencyTable::record(const AdapterRef &Adapter) {
  auto [Entry, IsNew] = Records_.try_emplace(Adapter);
  if (IsNew)
    Entry->second.LastUse_ = CreatedAt_;
  return Entry->second;
}

const AdapterRecord *ResidencyTable::find(const AdapterRef &Adapter) const {
  auto Found = Records_.find(Adapter);
  return Found == Records_.end() ? nullptr : &Found->second;
}

double ResidencyTable::demand(const AdapterRef &Adapter, TimePoint Now) const {
  const AdapterRecord *Record = find(Adapter);
  if (!Record || Record->Demand_ == 0)
    return 0;
  double HalfLives =
      toSeconds(Now - Record->DemandAt_) / toSeconds(Terms_.DemandHalfLife_);
  return Record->Demand_ * std::exp2(-HalfLives);
}

void ResidencyTable::recordDemand(const AdapterRef &Adapter, TimePoint Now) {
  double Demand = demand(Adapter, Now) + 1;
  AdapterRecord &Record = record(Adapter);
  Record.Demand_ = Demand;
  Record.DemandAt_ = Now;
}

double ResidencyTable::value(const AdapterRef &Adapter, TimePoint Now) const {
  const AdapterRecord *Record = find(Adapter);
  return Record ? demand(Adapter, Now) * toSeconds(Record->LoadTime_) : 0;
}

std::int64_t ResidencyTable::usedAdapterSlots() const {
  return std::count_if(Records_.begin(), Records_.end(), [](const auto &Entry) {
    return Entry.second.State_ != Residency::Absent;
  });
}

bool ResidencyTable::isIdle(const AdapterRecord &Record) {
  return Record.Permits_ == 0 && Record.Running_ == 0 &&
         Record.IdleConfirmedAt_ > Record.LastUse_;
}

std::optional<AdapterRef> ResidencyTable::evictionCandidate(TimePoint Now,
                                                            bool OnlyIdle,
                                                            bool AnyAge) const {
  std::optional<AdapterRef> Least;
  double LeastValue = 0;
  for (const auto &[Adapter, Record] : Records_) {
    bool IsOldEnough = AnyAge || Now - Record.LoadedAt_ >= Terms_.MinResidence_;
    if (Record.State_ != Residency::Resident || !IsOldEnough ||
        (OnlyIdle && !isIdle(Record)))
      continue;
    // An adapter that is already draining is evicted first.
    double Value = Record.Draining_ ? -1 : value(Adapter, Now);
    if (Least && Value >= LeastValue)
      continue;
    Least = Adapter;
    LeastValue = Value;
  }
  return Least;
}

void ResidencyTable::adopt(const EngineStatus &Status, TimePoint SentAt,
                           TimePoint Now) {
  std::map<AdapterRef, std::int64_t> Listed;
  for (const ResidentAdapter &Adapter : Status.Resident_)
    Listed[adapterFromText(Adapter.Name_)] = Adapter.Running_;
  for (const auto &[Adapter, Running] : Listed)
    record(Adapter);
  for (auto &[Adapter, Record] : Records_) {
    auto Found = Listed.find(Adapter);
    bool IsListed = Found != Listed.end();
    Record.Running_ = IsListed ? Found->second : 0;
    if (Record.Running_ == 0)
      Record.IdleConfirmedAt_ = std::max(Record.IdleConfirmedAt_, SentAt);
    bool IsOrdered = Record.State_ == Residency::Loading ||
                     Record.State_ == Residency::Unloading;
    if (IsOrdered || SentAt <= Record.ChangedAt_)
      continue;
    if (IsListed && Record.State_ != Residency::Resident) {
      Record.State_ = Residency::Resident;
      Record.LoadedAt_ = Now;
    } else if (!IsListed && Record.State_ == Residency::Resident) {
      Record.State_ = Residency::Absent;
      Record.Draining_ = false;
    }
  }
}

void ResidencyTable::clearResidency(TimePoint SentAt) {
  for (auto &[Adapter, Record] : Records_) {
    Record.Permits_ = 0;
    Record.Running_ = 0;
    Record.Draining_ = false;
    if (Record.State_ != Residency::Resident)
      continue;
    // A load that ended after the status was requested may belong to the new
    // incarnation.
    Record.State_ =
        Record.ChangedAt_ >= SentAt ? Residency::Uncertain : Residency::Absent;
  }
}

void ResidencyTable::loadStarted(const AdapterRef &Adapter, TimePoint Now) {
  AdapterRecord &Record = record(Adapter);
  checkInvariant(Record.State_ == Residency::Absent,
                 "an adapter that is not absent is loaded");
  Record.State_ = Residency::Loading;
  Record.ChangedAt_ = Now;
}

void ResidencyTable::recordMissing(const AdapterRef &Adapter, TimePoint Now) {
  AdapterRecord &Record = record(Adapter);
  if (Record.State_ != Residency::Resident)
    return;
  Record.State_ = Residency::Absent;
  Record.Draining_ = false;
  Record.ChangedAt_ = Now;
}

static bool mayStillTakeEffect(const Status &OrderStatus) {
  if (isOk(OrderStatus))
    return false;
  ErrorCode Code = errorOf(OrderStatus).Code_;
  return Code == ErrorCode::Timeout || Code == ErrorCode::ConnectionClosed;
}

void ResidencyTable::loadEnded(const AdapterRef &Adapter,
                               const Status &OrderStatus, TimePoint Now) {
  AdapterRecord &Record = record(Adapter);
  if (Record.State_ != Residency::Loading)
    return;
  Duration Elapsed = Now - Record.ChangedAt_;
  Record.ChangedAt_ = Now;
  if (isOk(OrderStatus)) {
    Record.State_ = Residency::Resident;
    Record.LoadedAt_ = Now;
    Record.Failures_ = 0;
    double Mean = (1 - LoadTimeWeight) * toSeconds(Record.LoadTime_) +
                  LoadTimeWeight * toSeconds(Elapsed);
    Record.LoadTime_ = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Mean));
    return;
  }
  Record.State_ = mayStillTakeEffect(OrderStatus) ? Residency::Uncertain
                                                  : Residency::Absent;
  Duration Backoff =
      Terms_.LoadBackoff_ * (1 << std::min(Record.Failures_, MaxDoublings));
  Record.NotBefore_ = Now + std::min(Backoff, Terms_.MaxBackoff_);
  ++Record.Failures_;
}

void ResidencyTable::unloadStarted(const AdapterRef &Adapter, TimePoint Now) {
  AdapterRecord &Record = record(Adapter);
  checkInvariant(Record.State_ == Residency::Resident,
                 "an adapter that is not resident is evicted");
  checkInvariant(Record.Permits_ == 0 && Record.Running_ == 0,
                 "an adapter in use is evicted");
  Record.State_ = Residency::Unloading;
  Record.ChangedAt_ = Now;
}

void ResidencyTable::unloadEnded(const AdapterRef &Adapter,
                                 const Status &OrderStatus, TimePoint Now) {
  AdapterRecord &Record = record(Adapter);
  if (Record.State_ != Residency::Unloading)
    return;
  Record.ChangedAt_ = Now;
  Record.Draining_ = false;
  if (isOk(OrderStatus))
    Record.State_ = Residency::Absent;
  else
    Record.State_ = mayStillTakeEffect(OrderStatus) ? Residency::Uncertain
                                                    : Residency::Resident;
}

void ResidencyTable::expire(TimePoint Now) {
  for (auto Entry = Records_.begin(); Entry != Records_.end();) {
    AdapterRecord &Record = Entry->second;
    if (Record.State_ == Residency::Uncertain &&
        Now - Record.ChangedAt_ > Terms_.MaxOrderTime_)
      Record.State_ = Residency::Absent;
    bool IsUnused = Record.State_ == Residency::Absent &&
                    Record.Permits_ == 0 && Record.NotBefore_ <= Now &&
                    demand(Entry->first, Now) < MinTrackedDemand;
    Entry = IsUnused ? Records_.erase(Entry) : std::next(Entry);
  }
}

} // namespace anvil
