#include "Placement/ResidencyTable.h"

#include "Kernel/Invariant.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// Below this demand an absent adapter is forgotten.
static constexpr double ForgottenDemand = 0.01;

/// The part of the newest load in the mean load time.
static constexpr double NewestLoadPart = 0.25;

/// The doublings of the backoff that are counted.
static constexpr int MostDoublings = 10;

AdapterRef adapterFromText(const std::string &Text) {
  auto At = Text.rfind('@');
  if (At == std::string::npos)
    return {Text, ""};
  return {Text.substr(0, At), Text.substr(At + 1)};
}

ResidencyTable::ResidencyTable(PlacementTerms Terms, TimePoint Now)
    : Terms_(Terms), Began_(Now) {}

AdapterRecord &ResidencyTable::record(const AdapterRef &Adapter) {
  auto [Entry, IsNew] = Records_.try_emplace(Adapter);
  if (IsNew)
    Entry->second.LastUse_ = Began_;
  return Entry->second;
}

const AdapterRecord *ResidencyTable::find(const AdapterRef &Adapter) const {
  auto Found = Records_.find(Adapter);
  return Found == Records_.end() ? nullptr : &Found->second;
}

double ResidencyTable::demand(const AdapterRef &Adapter, TimePoint Now) const {
  const AdapterRecord *Known = find(Adapter);
  if (!Known || Known->Demand_ == 0)
    return 0;
  double HalfLives =
      toSeconds(Now - Known->DemandAt_) / toSeconds(Terms_.DemandHalfLife_);
  return Known->Demand_ * std::exp2(-HalfLives);
}

void ResidencyTable::noteDemand(const AdapterRef &Adapter, TimePoint Now) {
  double Demand = demand(Adapter, Now) + 1;
  AdapterRecord &Known = record(Adapter);
  Known.Demand_ = Demand;
  Known.DemandAt_ = Now;
}

double ResidencyTable::value(const AdapterRef &Adapter, TimePoint Now) const {
  const AdapterRecord *Known = find(Adapter);
  return Known ? demand(Adapter, Now) * toSeconds(Known->LoadTime_) : 0;
}

std::int64_t ResidencyTable::placesTaken() const {
  return std::count_if(Records_.begin(), Records_.end(), [](const auto &Entry) {
    return Entry.second.State_ != Residency::Absent;
  });
}

bool ResidencyTable::isIdle(const AdapterRecord &Known) {
  return Known.Permits_ == 0 && Known.Running_ == 0 &&
         Known.IdleSeen_ > Known.LastUse_;
}

std::optional<AdapterRef> ResidencyTable::victim(TimePoint Now, bool OnlyIdle,
                                                 bool AnyAge) const {
  std::optional<AdapterRef> Least;
  double LeastValue = 0;
  for (const auto &[Adapter, Known] : Records_) {
    bool IsOldEnough = AnyAge || Now - Known.LoadedAt_ >= Terms_.MinResidence_;
    if (Known.State_ != Residency::Resident || !IsOldEnough ||
        (OnlyIdle && !isIdle(Known)))
      continue;
    // One that is being drained already is meant to go first.
    double Value = Known.Draining_ ? -1 : value(Adapter, Now);
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
  for (auto &[Adapter, Known] : Records_) {
    auto Found = Listed.find(Adapter);
    bool IsListed = Found != Listed.end();
    Known.Running_ = IsListed ? Found->second : 0;
    if (Known.Running_ == 0)
      Known.IdleSeen_ = std::max(Known.IdleSeen_, SentAt);
    bool IsOrdered = Known.State_ == Residency::Loading ||
                     Known.State_ == Residency::Unloading;
    if (IsOrdered || SentAt <= Known.ChangedAt_)
      continue;
    if (IsListed && Known.State_ != Residency::Resident) {
      Known.State_ = Residency::Resident;
      Known.LoadedAt_ = Now;
    } else if (!IsListed && Known.State_ == Residency::Resident) {
      Known.State_ = Residency::Absent;
      Known.Draining_ = false;
    }
  }
}

void ResidencyTable::clearResidency(TimePoint SentAt) {
  for (auto &[Adapter, Known] : Records_) {
    Known.Permits_ = 0;
    Known.Running_ = 0;
    Known.Draining_ = false;
    if (Known.State_ != Residency::Resident)
      continue;
    // A load that ended after the status was asked for may be of the new life.
    Known.State_ =
        Known.ChangedAt_ >= SentAt ? Residency::Uncertain : Residency::Absent;
  }
}

void ResidencyTable::loadStarted(const AdapterRef &Adapter, TimePoint Now) {
  AdapterRecord &Known = record(Adapter);
  checkInvariant(Known.State_ == Residency::Absent,
                 "an adapter that is not absent is loaded");
  Known.State_ = Residency::Loading;
  Known.ChangedAt_ = Now;
}

void ResidencyTable::noteMissing(const AdapterRef &Adapter, TimePoint Now) {
  AdapterRecord &Known = record(Adapter);
  if (Known.State_ != Residency::Resident)
    return;
  Known.State_ = Residency::Absent;
  Known.Draining_ = false;
  Known.ChangedAt_ = Now;
}

static bool mayStillTakeEffect(const Status &Ended) {
  if (isOk(Ended))
    return false;
  ErrorCode Code = errorOf(Ended).Code_;
  return Code == ErrorCode::Timeout || Code == ErrorCode::ConnectionClosed;
}

void ResidencyTable::loadEnded(const AdapterRef &Adapter, const Status &Ended,
                               TimePoint Now) {
  AdapterRecord &Known = record(Adapter);
  if (Known.State_ != Residency::Loading)
    return;
  Duration Taken = Now - Known.ChangedAt_;
  Known.ChangedAt_ = Now;
  if (isOk(Ended)) {
    Known.State_ = Residency::Resident;
    Known.LoadedAt_ = Now;
    Known.Failures_ = 0;
    double Mean = (1 - NewestLoadPart) * toSeconds(Known.LoadTime_) +
                  NewestLoadPart * toSeconds(Taken);
    Known.LoadTime_ = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(Mean));
    return;
  }
  Known.State_ =
      mayStillTakeEffect(Ended) ? Residency::Uncertain : Residency::Absent;
  Duration Backoff =
      Terms_.LoadBackoff_ * (1 << std::min(Known.Failures_, MostDoublings));
  Known.NotBefore_ = Now + std::min(Backoff, Terms_.MostBackoff_);
  ++Known.Failures_;
}

void ResidencyTable::unloadStarted(const AdapterRef &Adapter, TimePoint Now) {
  AdapterRecord &Known = record(Adapter);
  checkInvariant(Known.State_ == Residency::Resident,
                 "an adapter that is not resident is evicted");
  checkInvariant(Known.Permits_ == 0 && Known.Running_ == 0,
                 "an adapter in use is evicted");
  Known.State_ = Residency::Unloading;
  Known.ChangedAt_ = Now;
}

void ResidencyTable::unloadEnded(const AdapterRef &Adapter, const Status &Ended,
                                 TimePoint Now) {
  AdapterRecord &Known = record(Adapter);
  if (Known.State_ != Residency::Unloading)
    return;
  Known.ChangedAt_ = Now;
  Known.Draining_ = false;
  if (isOk(Ended))
    Known.State_ = Residency::Absent;
  else
    Known.State_ =
        mayStillTakeEffect(Ended) ? Residency::Uncertain : Residency::Resident;
}

void ResidencyTable::expire(TimePoint Now) {
  for (auto Entry = Records_.begin(); Entry != Records_.end();) {
    AdapterRecord &Known = Entry->second;
    if (Known.State_ == Residency::Uncertain &&
        Now - Known.ChangedAt_ > Terms_.LongestOrder_)
      Known.State_ = Residency::Absent;
    bool IsForgotten = Known.State_ == Residency::Absent &&
                       Known.Permits_ == 0 && Known.NotBefore_ <= Now &&
                       demand(Entry->first, Now) < ForgottenDemand;
    Entry = IsForgotten ? Records_.erase(Entry) : std::next(Entry);
  }
}

} // namespace anvil
