#include "Serving/FleetBook.h"

#include "Serving/NewsSchedule.h"

#include <algorithm>
#include <utility>

namespace anvil {

/// The minimum time for which the owner's report takes precedence over the
/// engine's own entry, which is written about once a second, and for which the
/// owner is assumed to be reachable.
static constexpr Duration LeastOwnerWord = std::chrono::milliseconds(3000);
static constexpr Duration LeastOwnerStay = std::chrono::milliseconds(1900);

/// The number of repeat intervals for which an owner's report is valid.
static constexpr double OwnerWordRepeats = 2.5;

/// How long the sender of a summary is remembered, so that its delayed older
/// datagrams are still recognised.
static constexpr Duration TellerMemory = std::chrono::seconds(30);

/// How long after its expected end a load may still be in progress.
static constexpr Duration YoungTime = std::chrono::milliseconds(1500);

/// By how much the expected end is then postponed: a minimum, and a fraction of
/// the time that the load has taken, since a store that is slow for one load
/// mostly stays slow.
static constexpr Duration LeastLateStep = std::chrono::milliseconds(60);
static constexpr double LateStepPart = 0.4;

void addShares(RunningShares &Sums, const RunningShares &Running) {
  for (const auto &[Target, Share] : Running) {
    RunningShare &Sum = Sums[Target];
    Sum.Requests_ += Share.Requests_;
    Sum.Tokens_ += Share.Tokens_;
    for (const auto &[Adapter, Count] : Share.Adapters_)
      Sum.Adapters_[Adapter] += Count;
  }
}

bool FleetBook::apply(const VmNews &News, TimePoint Now) {
  auto Found = Vms_.find(News.Vm_);
  bool IsOld = Found != Vms_.end() &&
               Found->second.News_.Incarnation_ == News.Incarnation_ &&
               Found->second.News_.Sequence_ >= News.Sequence_;
  if (IsOld)
    return false;
  HeardVm &Heard = Vms_[News.Vm_];
  if (Heard.Counted_)
    addRunning(Heard.News_.Running_, -1);
  Heard.News_ = News;
  Heard.Until_ = Now + newsTime(News.Period_);
  Heard.Counted_ = true;
  addRunning(News.Running_, 1);
  for (const auto &[Engine, Told] : News.Holdings_)
    applyHoldings(Engine, Told, Now);
  return true;
}

bool FleetBook::apply(const DataCentreNews &News, TimePoint Now) {
  HeardDataCentre &Heard = DataCentres_[News.DataCentre_];
  auto [Place, IsNew] = Heard.Tellers_.try_emplace(News.Teller_);
  HeardDataCentre::Teller &Known = Place->second;
  bool IsOld = !IsNew && Known.Incarnation_ == News.Incarnation_ &&
               Known.Sequence_ >= News.Sequence_;
  if (IsOld)
    return false;
  TimePoint Until = Now + newsTime(News.Period_);
  Known = {News.Incarnation_, News.Sequence_, News.Vms_, Until,
           Now + reachTime(News.Period_)};
  addRunning(Heard.Running_, -1);
  Heard.Running_ = News.Running_;
  Heard.Until_ = Until;
  addRunning(Heard.Running_, 1);
  return true;
}

void FleetBook::applyHoldings(const std::string &Engine,
                              const EngineHoldings &Told, TimePoint Now) {
  EngineBelief &Belief = Engines_[Engine];
  if (Belief.Incarnation_ > Told.Incarnation_)
    return;
  if (Belief.Incarnation_ != Told.Incarnation_)
    Belief.Warm_.clear();
  Belief.Incarnation_ = Told.Incarnation_;
  Belief.HasModel_ = Told.HasModel_;
  auto Before = std::exchange(Belief.Adapters_, {});
  for (const auto &[Adapter, Item] : Told.Adapters_) {
    auto Known = Before.find(Adapter);
    bool IsKnown =
        Known != Before.end() && Known->second.Version_ == Item.Version_;
    Belief.Adapters_[Adapter] = {Item.Version_, Now + Item.ReadyIn_,
                                 IsKnown ? Known->second.Since_ : Now};
  }
  for (const auto &[Place, When] : NotBefore_) {
    auto Held = Belief.Adapters_.find(Place.second);
    if (Place.first == Engine && Held != Belief.Adapters_.end())
      Held->second.ReadyAt_ = std::max(Held->second.ReadyAt_, When);
  }
  noteHeld(Belief, Now);
  auto Word =
      std::chrono::duration_cast<Duration>(Told.Repeat_ * OwnerWordRepeats);
  Belief.ToldUntil_ = Now + std::max(LeastOwnerWord, Word);
  Belief.Owner_ = Told.Owner_;
  Belief.OwnedUntil_ = Now + std::max(LeastOwnerStay, Word);
}

void FleetBook::applyEntry(const RegisteredTarget &Entry,
                           const std::string &Model, TimePoint Now) {
  EngineBelief &Belief = Engines_[Entry.Id_];
  bool IsSameLife = Belief.Incarnation_ == Entry.Incarnation_;
  if (IsSameLife && Belief.ToldUntil_ > Now)
    return;
  auto Warm =
      IsSameLife ? std::move(Belief.Warm_) : std::map<std::string, TimePoint>();
  Belief = EngineBelief();
  Belief.Warm_ = std::move(Warm);
  Belief.Incarnation_ = Entry.Incarnation_;
  auto Held = Entry.Models_.find(Model);
  if (Held == Entry.Models_.end())
    return;
  Belief.HasModel_ = true;
  for (const auto &[Adapter, Version] : Held->second.Adapters_)
    Belief.Adapters_[Adapter] = {Version, Now, Now};
  noteHeld(Belief, Now);
}

void FleetBook::noteHeld(EngineBelief &Belief, TimePoint Now) const {
  for (const auto &[Adapter, Held] : Belief.Adapters_)
    Belief.Warm_[Adapter] = Now;
  while (Belief.Warm_.size() > WarmAdapters_)
    Belief.Warm_.erase(std::ranges::min_element(
        Belief.Warm_, {}, [](const auto &Entry) { return Entry.second; }));
}

void FleetBook::addRunning(const RunningShares &Running, int Sign) {
  for (const auto &[Target, Share] : Running) {
    RunningShare &Sum = OnTarget_[Target];
    Sum.Requests_ += Sign * Share.Requests_;
    Sum.Tokens_ += Sign * Share.Tokens_;
    for (const auto &[Adapter, Count] : Share.Adapters_) {
      int &Here = Sum.Adapters_[Adapter];
      Here += Sign * Count;
      if (Here == 0)
        Sum.Adapters_.erase(Adapter);
      int &Total = WithAdapter_[Adapter];
      Total += Sign * Count;
      if (Total == 0)
        WithAdapter_.erase(Adapter);
    }
    if (Sum.Requests_ == 0)
      OnTarget_.erase(Target);
  }
}

void FleetBook::expire(TimePoint Now) {
  for (auto &[Vm, Heard] : Vms_)
    if (Heard.Counted_ && Heard.Until_ < Now) {
      addRunning(Heard.News_.Running_, -1);
      Heard.Counted_ = false;
    }
  for (auto &[Name, Heard] : DataCentres_) {
    if (Heard.Until_ < Now)
      addRunning(std::exchange(Heard.Running_, {}), -1);
    std::erase_if(Heard.Tellers_, [&](const auto &Entry) {
      return Entry.second.Until_ + TellerMemory < Now;
    });
  }
}

void FleetBook::addNear(DataCentreNews &Sums, TimePoint Now) const {
  for (const auto &[Vm, Heard] : Vms_) {
    if (Heard.Until_ < Now)
      continue;
    ++Sums.Vms_;
    addShares(Sums.Running_, Heard.News_.Running_);
    Sums.Crashes_.insert(Sums.Crashes_.end(), Heard.News_.Crashes_.begin(),
                         Heard.News_.Crashes_.end());
    Sums.Leavers_.insert(Heard.News_.Leavers_.begin(),
                         Heard.News_.Leavers_.end());
  }
}

const RunningShare &FleetBook::othersOn(const std::string &Target) const {
  static const RunningShare Nothing;
  auto Found = OnTarget_.find(Target);
  return Found == OnTarget_.end() ? Nothing : Found->second;
}

int FleetBook::othersUsing(const std::string &Adapter) const {
  auto Found = WithAdapter_.find(Adapter);
  return Found == WithAdapter_.end() ? 0 : Found->second;
}

const EngineBelief *FleetBook::engine(const std::string &Engine) const {
  auto Found = Engines_.find(Engine);
  return Found == Engines_.end() ? nullptr : &Found->second;
}

bool FleetBook::noteMissing(const std::string &Engine,
                            const std::string &Adapter, TimePoint Now) {
  auto Found = Engines_.find(Engine);
  if (Found == Engines_.end())
    return true;
  if (Adapter.empty()) {
    Found->second.HasModel_ = false;
    return true;
  }
  std::erase_if(NotBefore_,
                [&](const auto &Entry) { return Entry.second <= Now; });
  auto Held = Found->second.Adapters_.find(Adapter);
  bool IsYoung = Held != Found->second.Adapters_.end() &&
                 Held->second.ReadyAt_ + YoungTime > Now;
  if (!IsYoung) {
    Found->second.Adapters_.erase(Adapter);
    return true;
  }
  auto Step =
      std::max(LeastLateStep, std::chrono::duration_cast<Duration>(
                                  (Now - Held->second.Since_) * LateStepPart));
  Held->second.ReadyAt_ = Now + Step;
  NotBefore_[{Engine, Adapter}] = Now + Step;
  return false;
}

int FleetBook::inTransit(TimePoint Now) const {
  int Sum = 0;
  for (const auto &[Engine, Belief] : Engines_)
    Sum += static_cast<int>(
        std::ranges::count_if(Belief.Adapters_, [&](const auto &Entry) {
          return Entry.second.ReadyAt_ > Now;
        }));
  return Sum;
}

std::size_t FleetBook::heardNear(TimePoint Now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Vms_, [&](const auto &Entry) { return Entry.second.Until_ >= Now; }));
}

std::size_t FleetBook::heardVms(TimePoint Now) const {
  std::size_t Sum = heardNear(Now);
  for (const auto &[Name, Heard] : DataCentres_) {
    // A sender that can reach few of its peers does not hide them.
    std::uint64_t Most = 0;
    for (const auto &[Vm, Known] : Heard.Tellers_)
      if (Known.InReachUntil_ >= Now)
        Most = std::max(Most, Known.Vms_);
    Sum += Most;
  }
  return Sum;
}

bool FleetBook::isServing(const std::string &Vm, TimePoint Now) const {
  auto Found = Vms_.find(Vm);
  return Found != Vms_.end() && Found->second.Until_ >= Now &&
         !Found->second.News_.Leaving_;
}

} // namespace anvil
