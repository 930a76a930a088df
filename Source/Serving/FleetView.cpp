#include "Serving/FleetView.h"

#include "Kernel/EraseLowest.h"
#include "Serving/UpdateSchedule.h"

#include <algorithm>
#include <utility>

namespace anvil {

/// The minimum time for which the owner's report takes precedence over the
/// engine's own entry, which is written about once a second, and for which the
/// owner is assumed to be reachable.
static constexpr Duration MinOwnerReportValidity =
    std::chrono::milliseconds(3000);
static constexpr Duration MinOwnerPresence = std::chrono::milliseconds(1900);

/// The number of repeat intervals for which an owner's report is valid.
static constexpr double OwnerReportRepeats = 2.5;

/// How long the sender of a summary is remembered, so that its delayed older
/// datagrams are still recognised.
static constexpr Duration SenderRetention = std::chrono::seconds(30);

/// How long after its expected end a load may still be in progress.
static constexpr Duration LateLoadWindow = std::chrono::milliseconds(1500);

/// By how much the expected end is then postponed: a minimum, and a fraction of
/// the time that the load has taken, since a store that is slow for one load
/// mostly stays slow.
static constexpr Duration MinLoadExtension = std::chrono::milliseconds(60);
static constexpr double LoadExtensionShare = 0.4;

void addRunningShares(RunningShares &Sums, const RunningShares &Running) {
  for (const auto &[Target, Share] : Running) {
    RunningShare &Sum = Sums[Target];
    Sum.Requests_ += Share.Requests_;
    Sum.Tokens_ += Share.Tokens_;
    for (const auto &[Adapter, Count] : Share.Adapters_)
      Sum.Adapters_[Adapter] += Count;
  }
}

bool FleetView::apply(const VmStateUpdate &Update, TimePoint Now) {
  auto Found = Vms_.find(Update.Vm_);
  bool IsOld = Found != Vms_.end() &&
               Found->second.Update_.Incarnation_ == Update.Incarnation_ &&
               Found->second.Update_.Sequence_ >= Update.Sequence_;
  if (IsOld)
    return false;
  KnownVm &State = Vms_[Update.Vm_];
  if (State.Counted_)
    addRunning(State.Update_.Running_, -1);
  State.Update_ = Update;
  State.Until_ = Now + updateValidity(Update.Period_);
  State.Counted_ = true;
  addRunning(Update.Running_, 1);
  for (const auto &[Engine, Inventory] : Update.Inventories_)
    applyInventory(Engine, Inventory, Now);
  return true;
}

bool FleetView::apply(const DataCentreSummary &Summary, TimePoint Now) {
  KnownDataCentre &State = DataCentres_[Summary.DataCentre_];
  auto [It, IsNew] = State.Senders_.try_emplace(Summary.Sender_);
  KnownDataCentre::Sender &Known = It->second;
  bool IsOld = !IsNew && Known.Incarnation_ == Summary.Incarnation_ &&
               Known.Sequence_ >= Summary.Sequence_;
  if (IsOld)
    return false;
  TimePoint Until = Now + updateValidity(Summary.Period_);
  Known = {Summary.Incarnation_, Summary.Sequence_, Summary.Vms_, Until,
           Now + reachabilityTimeout(Summary.Period_)};
  addRunning(State.Running_, -1);
  State.Running_ = Summary.Running_;
  State.Until_ = Until;
  addRunning(State.Running_, 1);
  return true;
}

void FleetView::applyInventory(const std::string &Engine,
                               const EngineInventory &Inventory,
                               TimePoint Now) {
  EngineView &View = Engines_[Engine];
  if (View.Incarnation_ > Inventory.Incarnation_)
    return;
  if (View.Incarnation_ != Inventory.Incarnation_)
    View.Warm_.clear();
  View.Incarnation_ = Inventory.Incarnation_;
  View.HasModel_ = Inventory.HasModel_;
  auto Previous = std::exchange(View.Adapters_, {});
  for (const auto &[Adapter, Item] : Inventory.Adapters_) {
    auto Known = Previous.find(Adapter);
    bool IsKnown =
        Known != Previous.end() && Known->second.Version_ == Item.Version_;
    AdapterView &Held = View.Adapters_[Adapter];
    Held = {Item.Version_, Now + Item.ReadyIn_,
            IsKnown ? Known->second.Since_ : Now};
    if (Item.LoadingFor_ > Duration::zero()) {
      Held.OrderedAt_ = Now - Item.LoadingFor_;
      Held.Source_ = Item.Source_;
    } else if (IsKnown) {
      Held.OrderedAt_ = Known->second.OrderedAt_;
      Held.Source_ = Known->second.Source_;
    }
  }
  View.Queued_.clear();
  for (const auto &[Adapter, ReadyIn] : Inventory.Queued_)
    View.Queued_[Adapter] = Now + ReadyIn;
  for (const auto &[Key, When] : PostponedReadyAt_) {
    auto Held = View.Adapters_.find(Key.second);
    if (Key.first == Engine && Held != View.Adapters_.end())
      Held->second.ReadyAt_ = std::max(Held->second.ReadyAt_, When);
  }
  updateWarm(View, Now);
  auto ReportValidity = std::chrono::duration_cast<Duration>(
      Inventory.RepeatPeriod_ * OwnerReportRepeats);
  View.ReportValidUntil_ =
      Now + std::max(MinOwnerReportValidity, ReportValidity);
  View.Owner_ = Inventory.Owner_;
  View.OwnedUntil_ = Now + std::max(MinOwnerPresence, ReportValidity);
}

void FleetView::applyRegistryEntry(const RegisteredTarget &Entry,
                                   const std::string &Model, TimePoint Now) {
  EngineView &View = Engines_[Entry.Id_];
  bool IsSameIncarnation = View.Incarnation_ == Entry.Incarnation_;
  if (IsSameIncarnation && View.ReportValidUntil_ > Now)
    return;
  auto Warm = IsSameIncarnation ? std::move(View.Warm_)
                                : std::map<std::string, TimePoint>();
  View = EngineView();
  View.Warm_ = std::move(Warm);
  View.Incarnation_ = Entry.Incarnation_;
  auto Held = Entry.Models_.find(Model);
  if (Held == Entry.Models_.end())
    return;
  View.HasModel_ = true;
  for (const auto &[Adapter, Version] : Held->second.Adapters_)
    View.Adapters_[Adapter] = {Version, Now, Now};
  updateWarm(View, Now);
}

void FleetView::updateWarm(EngineView &View, TimePoint Now) const {
  for (const auto &[Adapter, Held] : View.Adapters_)
    View.Warm_[Adapter] = Now;
  while (View.Warm_.size() > WarmAdapters_)
    eraseLowest(View.Warm_);
}

void FleetView::addRunning(const RunningShares &Running, int Sign) {
  for (const auto &[Target, Share] : Running) {
    RunningShare &Sum = RunningOnTarget_[Target];
    Sum.Requests_ += Sign * Share.Requests_;
    Sum.Tokens_ += Sign * Share.Tokens_;
    for (const auto &[Adapter, Count] : Share.Adapters_) {
      int &Here = Sum.Adapters_[Adapter];
      Here += Sign * Count;
      if (Here == 0)
        Sum.Adapters_.erase(Adapter);
      int &Total = RunningWithAdapter_[Adapter];
      Total += Sign * Count;
      if (Total == 0)
        RunningWithAdapter_.erase(Adapter);
    }
    if (Sum.Requests_ == 0)
      RunningOnTarget_.erase(Target);
  }
}

void FleetView::expire(TimePoint Now) {
  for (auto &[Vm, State] : Vms_)
    if (State.Counted_ && State.Until_ < Now) {
      addRunning(State.Update_.Running_, -1);
      State.Counted_ = false;
    }
  for (auto &[Name, State] : DataCentres_) {
    if (State.Until_ < Now)
      addRunning(std::exchange(State.Running_, {}), -1);
    std::erase_if(State.Senders_, [&](const auto &Entry) {
      return Entry.second.Until_ + SenderRetention < Now;
    });
  }
}

void FleetView::addLocalUpdates(DataCentreSummary &Sums, TimePoint Now) const {
  for (const auto &[Vm, State] : Vms_) {
    if (State.Until_ < Now)
      continue;
    ++Sums.Vms_;
    addRunningShares(Sums.Running_, State.Update_.Running_);
    Sums.Crashes_.insert(Sums.Crashes_.end(), State.Update_.Crashes_.begin(),
                         State.Update_.Crashes_.end());
    if (!State.Update_.Parts_.empty())
      Sums.Parts_.push_back(State.Update_.Parts_);
    Sums.LeavingTargets_.insert(State.Update_.LeavingTargets_.begin(),
                                State.Update_.LeavingTargets_.end());
  }
}

const RunningShare &FleetView::peersRunningOn(const std::string &Target) const {
  static const RunningShare Nothing;
  auto Found = RunningOnTarget_.find(Target);
  return Found == RunningOnTarget_.end() ? Nothing : Found->second;
}

int FleetView::peerRequestsWith(const std::string &Adapter) const {
  auto Found = RunningWithAdapter_.find(Adapter);
  return Found == RunningWithAdapter_.end() ? 0 : Found->second;
}

const EngineView *FleetView::engine(const std::string &Engine) const {
  auto Found = Engines_.find(Engine);
  return Found == Engines_.end() ? nullptr : &Found->second;
}

bool FleetView::recordMissingAdapter(const std::string &Engine,
                                     const std::string &Adapter,
                                     TimePoint Now) {
  auto Found = Engines_.find(Engine);
  if (Found == Engines_.end())
    return true;
  if (Adapter.empty()) {
    Found->second.HasModel_ = false;
    return true;
  }
  std::erase_if(PostponedReadyAt_,
                [&](const auto &Entry) { return Entry.second <= Now; });
  auto Held = Found->second.Adapters_.find(Adapter);
  bool IsRecentlyDue = Held != Found->second.Adapters_.end() &&
                       Held->second.ReadyAt_ + LateLoadWindow > Now;
  if (!IsRecentlyDue) {
    Found->second.Adapters_.erase(Adapter);
    return true;
  }
  auto Extension = std::max(
      MinLoadExtension, std::chrono::duration_cast<Duration>(
                            (Now - Held->second.Since_) * LoadExtensionShare));
  Held->second.ReadyAt_ = Now + Extension;
  PostponedReadyAt_[{Engine, Adapter}] = Now + Extension;
  return false;
}

int FleetView::inTransit(TimePoint Now) const {
  int Sum = 0;
  for (const auto &[Engine, View] : Engines_)
    Sum += static_cast<int>(
        std::ranges::count_if(View.Adapters_, [&](const auto &Entry) {
          return Entry.second.ReadyAt_ > Now;
        }));
  return Sum;
}

std::size_t FleetView::queuedLoads(TimePoint Now) const {
  std::size_t Sum = 0;
  for (const auto &[Engine, View] : Engines_)
    Sum += View.OwnedUntil_ > Now ? View.Queued_.size() : 0;
  return Sum;
}

std::size_t FleetView::reachableLocalVms(TimePoint Now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Vms_, [&](const auto &Entry) { return Entry.second.Until_ >= Now; }));
}

std::size_t FleetView::reachableVms(TimePoint Now) const {
  std::size_t Sum = reachableLocalVms(Now);
  for (const auto &[Name, State] : DataCentres_) {
    // The highest count, since a sender may reach only few of its peers.
    std::uint64_t MaxVms = 0;
    for (const auto &[Vm, Known] : State.Senders_)
      if (Known.ReachableUntil_ >= Now)
        MaxVms = std::max(MaxVms, Known.Vms_);
    Sum += MaxVms;
  }
  return Sum;
}

bool FleetView::isServing(const std::string &Vm, TimePoint Now) const {
  auto Found = Vms_.find(Vm);
  return Found != Vms_.end() && Found->second.Until_ >= Now &&
         !Found->second.Update_.ShuttingDown_;
}

} // namespace anvil
