#include "Routing/PlaceIssuer.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace anvil {

/// The requests that are tried beyond the slots, so that a slot that is freed
/// isn't idle until the next request arrives: at most so many, and so many for
/// each rejection per second that the target survives.
static constexpr double MaxTriedBeyondSlots = 2;
static constexpr double TriedPerRejection = 0.5;

/// The share of its slots with which a target begins that has started again.
static constexpr double RestartShare = 0.25;

/// How long after a rejection one more place is tried again.
static constexpr Duration TryAgainTime = std::chrono::seconds(10);

/// For how long an issuer that is new to a target also goes by its view of the
/// fleet: VMs may hold places that another issuer granted.
static constexpr Duration TakeoverTime = std::chrono::seconds(3);

/// The time over which rejections count.
static constexpr Duration RejectionWindow = std::chrono::seconds(1);

/// The weight of the latest use of a place in the mean time of use, and that
/// time before any was seen.
static constexpr double MeanWeight = 0.1;
static constexpr Duration DefaultUse = std::chrono::milliseconds(200);

/// The bounds of the time after which a VM that was denied asks again, and how
/// long it counts among those that wait.
static constexpr Duration MinRetry = std::chrono::milliseconds(20);
static constexpr Duration MaxRetry = std::chrono::milliseconds(500);
static constexpr Duration WaitingTime = std::chrono::seconds(1);

/// How long a target without requests is remembered.
static constexpr Duration TargetRetention = std::chrono::seconds(60);

/// A VM's numbers start at random, so that ones this far from its last are
/// those of a new process.
static constexpr std::uint64_t MaxSerialStep = 1'000'000;

int PlaceIssuer::count(const KnownTarget &Known) {
  return std::accumulate(
      Known.Vms_.begin(), Known.Vms_.end(), 0, [](int Sum, const auto &Item) {
        return Sum + static_cast<int>(Item.second.Places_.size());
      });
}

PlaceIssuer::KnownTarget *PlaceIssuer::find(const std::string &Target,
                                            std::int64_t Incarnation) {
  auto Found = Targets_.find(Target);
  bool IsKnown =
      Found != Targets_.end() && Found->second.Incarnation_ == Incarnation;
  return IsKnown ? &Found->second : nullptr;
}

PlaceIssuer::KnownTarget &PlaceIssuer::knownTarget(const PlaceQuery &Query,
                                                   TimePoint Now) {
  auto [Position, IsNew] = Targets_.try_emplace(Query.Target_);
  KnownTarget &Known = Position->second;
  if (!IsNew && Known.Incarnation_ >= Query.Incarnation_)
    return Known;
  double Slots = std::max(1, Query.Need_.Slots_);
  Known = KnownTarget();
  Known.Incarnation_ = Query.Incarnation_;
  Known.Since_ = Now;
  Known.FittingChangedAt_ = Now;
  Known.Slots_ = Slots;
  Known.MaxFitting_ =
      Slots + std::min(MaxTriedBeyondSlots,
                       std::floor(Query.Need_.Rejections_ * TriedPerRejection));
  Known.Fitting_ = Known.MaxFitting_;
  // One that has fallen over isn't flooded when it is back.
  Known.Limit_ = !IsNew || Query.IsRestarted_
                     ? std::max(1.0, std::floor(Slots * RestartShare))
                     : Known.Fitting_;
  return Known;
}

void PlaceIssuer::applyInUse(KnownVm &Vm, std::uint64_t Serial,
                             const PlacesInUse &InUse, Duration Lasts,
                             TimePoint Now) {
  std::uint64_t Step =
      std::max(Serial, Vm.LastSerial_) - std::min(Serial, Vm.LastSerial_);
  bool IsNewProcess = Step > MaxSerialStep;
  if (IsNewProcess)
    Vm.Places_.clear();
  // An older message that was overtaken frees nothing.
  if (!IsNewProcess && Serial < Vm.LastSerial_)
    return;
  Vm.LastSerial_ = Serial;
  auto Uses = [&](std::uint64_t Number) {
    return std::ranges::count(InUse.Held_, Number) > 0 ||
           std::ranges::count(InUse.Awaited_, Number) > 0;
  };
  std::erase_if(Vm.Places_, [&](const auto &Item) {
    return Item.first < Serial && !Uses(Item.first);
  });
  for (std::uint64_t Number : InUse.Held_)
    Vm.Places_.try_emplace(Number, Place{Now, Now + Lasts});
}

PermitDecision PlaceIssuer::deny(KnownTarget &Known, KnownVm &Vm,
                                 TimePoint Now) {
  if (Vm.DeniedAt_ + WaitingTime <= Now)
    Vm.WaitsSince_ = Now;
  Vm.DeniedAt_ = Now;
  auto Waiting = std::ranges::count_if(Known.Vms_, [&](const auto &Item) {
    return Item.second.DeniedAt_ + WaitingTime > Now;
  });
  Duration Use =
      Known.MeanUse_ > Duration::zero() ? Known.MeanUse_ : DefaultUse;
  auto Freed = std::chrono::duration_cast<Duration>(
      Use / std::max(1.0, Known.Limit_) * static_cast<double>(Waiting));
  return {false, std::clamp<Duration>(Freed, MinRetry, MaxRetry)};
}

std::optional<std::string> PlaceIssuer::takeWaiting(KnownTarget &Known,
                                                    TimePoint Now) {
  if (count(Known) >= static_cast<int>(Known.Limit_))
    return std::nullopt;
  auto Longest = Known.Vms_.end();
  for (auto Item = Known.Vms_.begin(); Item != Known.Vms_.end(); ++Item) {
    bool IsWaiting = Item->second.DeniedAt_ + WaitingTime > Now;
    if (IsWaiting && (Longest == Known.Vms_.end() ||
                      Item->second.WaitsSince_ < Longest->second.WaitsSince_))
      Longest = Item;
  }
  if (Longest == Known.Vms_.end())
    return std::nullopt;
  Longest->second.DeniedAt_ = {};
  return Longest->first;
}

PermitDecision PlaceIssuer::decide(const PlaceQuery &Query, double Share,
                                   TimePoint Now) {
  if (Activity_.recordRequest(Now))
    Targets_.clear();
  prune(Now);
  KnownTarget &Known = knownTarget(Query, Now);
  if (Known.Incarnation_ > Query.Incarnation_)
    return {false, PermitIssuer::MaxWait};
  Known.LastRequestAt_ = Now;
  for (auto &[Name, Other] : Known.Vms_)
    std::erase_if(Other.Places_, [&](const auto &Item) {
      return Item.second.ExpiresAt_ <= Now;
    });
  KnownVm &Vm = Known.Vms_[Query.Vm_];
  applyInUse(Vm, Query.Serial_, Query.Need_.InUse_, Query.Need_.Lasts_, Now);
  if (Now < Activity_.heldUntil())
    return {false, std::min<Duration>(PermitIssuer::MaxWait,
                                      Activity_.heldUntil() - Now)};
  while (!Known.Rejections_.empty() &&
         Known.Rejections_.front() + RejectionWindow <= Now)
    Known.Rejections_.pop_front();
  bool IsAllowanceUsed = !Known.Rejections_.empty() &&
                         static_cast<double>(Known.Rejections_.size()) >=
                             std::floor(Query.Need_.Rejections_);
  if (IsAllowanceUsed) {
    Vm.DeniedAt_ = Now;
    return {false, Known.Rejections_.front() + RejectionWindow - Now};
  }
  constexpr double Majority = 0.5;
  double Limit = Share > Majority ? Known.Limit_ : Known.Limit_ * Share;
  int InUse = count(Known);
  if (Known.Since_ + TakeoverTime > Now)
    InUse = std::max(InUse, Query.SeenRunning_);
  if (InUse + 1 > static_cast<int>(Limit))
    return deny(Known, Vm, Now);
  Vm.DeniedAt_ = {};
  Vm.Places_[Query.Serial_] = {Now, Now + Query.Need_.Lasts_};
  return {true, {}};
}

std::optional<std::string> PlaceIssuer::release(const PlaceRelease &Release,
                                                TimePoint Now) {
  KnownTarget *Known = find(Release.Target_, Release.Incarnation_);
  if (!Known)
    return std::nullopt;
  int Before = count(*Known);
  KnownVm &Vm = Known->Vms_[Release.Vm_];
  auto Found = Vm.Places_.find(Release.Serial_);
  if (Found != Vm.Places_.end()) {
    Duration Use = Now - Found->second.GrantedAt_;
    Known->MeanUse_ =
        Known->MeanUse_ == Duration::zero()
            ? Use
            : std::chrono::duration_cast<Duration>(
                  Known->MeanUse_ * (1 - MeanWeight) + Use * MeanWeight);
    Vm.Places_.erase(Found);
  }
  if (Release.WasRejected_) {
    Known->Rejections_.push_back(Now);
    Known->Limit_ =
        std::max(1.0, std::min(Known->Limit_, static_cast<double>(Before)) - 1);
    // What the slots run fits; with fewer in use, requests without a place were
    // there as well.
    Known->Fitting_ = std::max(Known->Slots_, Known->Fitting_ - 1);
    Known->FittingChangedAt_ = Now;
    return std::nullopt;
  }
  bool MayTryMore = Known->Fitting_ < Known->MaxFitting_ &&
                    Known->FittingChangedAt_ + TryAgainTime <= Now;
  if (Known->Limit_ < Known->Fitting_) {
    Known->Limit_ += 1;
  } else if (MayTryMore) {
    Known->Fitting_ += 1;
    Known->FittingChangedAt_ = Now;
  }
  return takeWaiting(*Known, Now);
}

void PlaceIssuer::recordActivity(Duration Period, TimePoint Now) {
  if (Activity_.record(Period, Now))
    Targets_.clear();
}

int PlaceIssuer::inUse(const std::string &Target) const {
  auto Found = Targets_.find(Target);
  return Found == Targets_.end() ? 0 : count(Found->second);
}

int PlaceIssuer::limitOf(const std::string &Target) const {
  auto Found = Targets_.find(Target);
  return Found == Targets_.end() ? 0 : static_cast<int>(Found->second.Limit_);
}

void PlaceIssuer::prune(TimePoint Now) {
  if (NextPrune_ > Now)
    return;
  std::erase_if(Targets_, [&](const auto &Entry) {
    return Entry.second.LastRequestAt_ + TargetRetention < Now;
  });
  NextPrune_ = Now + TargetRetention;
}

} // namespace anvil
