#include "Serving/FleetBook.h"

#include <algorithm>

namespace anvil {

/// For how long after its expected end a load may still be under way.
static constexpr Duration YoungTime = std::chrono::milliseconds(1500);

/// By how much the expected end is put off then.
static constexpr Duration LateStep = std::chrono::milliseconds(60);

bool FleetBook::apply(const VmNews &News, TimePoint Now) {
  auto Found = Vms_.find(News.Vm_);
  bool IsOld = Found != Vms_.end() &&
               Found->second.News_.Incarnation_ == News.Incarnation_ &&
               Found->second.News_.Sequence_ >= News.Sequence_;
  if (IsOld)
    return false;
  HeardVm &Heard = Vms_[News.Vm_];
  if (Heard.Counted_)
    addRunning(Heard.News_, -1);
  Heard.News_ = News;
  Heard.At_ = Now;
  Heard.Counted_ = true;
  addRunning(News, 1);
  for (const auto &[Engine, Told] : News.Holdings_)
    applyHoldings(Engine, Told, Now);
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
  Belief.Adapters_.clear();
  for (const auto &[Adapter, Item] : Told.Adapters_)
    Belief.Adapters_[Adapter] = {Item.Version_, Now + Item.ReadyIn_};
  for (const auto &[Place, When] : NotBefore_) {
    auto Held = Belief.Adapters_.find(Place.second);
    if (Place.first == Engine && Held != Belief.Adapters_.end())
      Held->second.ReadyAt_ = std::max(Held->second.ReadyAt_, When);
  }
  noteHeld(Belief, Now);
  Belief.ToldAt_ = Now;
}

void FleetBook::applyEntry(const RegisteredTarget &Entry,
                           const std::string &Model, TimePoint Now) {
  EngineBelief &Belief = Engines_[Entry.Id_];
  bool IsSameLife = Belief.Incarnation_ == Entry.Incarnation_;
  if (IsSameLife && Belief.ToldAt_ + OwnerWordTime > Now)
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
    Belief.Adapters_[Adapter] = {Version, Now};
  noteHeld(Belief, Now);
}

void FleetBook::noteHeld(EngineBelief &Belief, TimePoint Now) {
  for (const auto &[Adapter, Held] : Belief.Adapters_)
    Belief.Warm_[Adapter] = Now;
  while (Belief.Warm_.size() > EngineKeeper::WarmMemory)
    Belief.Warm_.erase(std::ranges::min_element(
        Belief.Warm_, {}, [](const auto &Entry) { return Entry.second; }));
}

void FleetBook::addRunning(const VmNews &News, int Sign) {
  for (const auto &[Target, Share] : News.Running_) {
    RunningShare &Sum = OnTarget_[Target];
    Sum.Requests_ += Sign * Share.Requests_;
    Sum.Tokens_ += Sign * Share.Tokens_;
    if (Sum.Requests_ == 0)
      OnTarget_.erase(Target);
    for (const auto &[Adapter, Count] : Share.Adapters_) {
      int &Total = WithAdapter_[Adapter];
      Total += Sign * Count;
      if (Total == 0)
        WithAdapter_.erase(Adapter);
    }
  }
}

void FleetBook::expire(TimePoint Now) {
  for (auto &[Vm, Heard] : Vms_)
    if (Heard.Counted_ && Heard.At_ + NewsTime < Now) {
      addRunning(Heard.News_, -1);
      Heard.Counted_ = false;
    }
}

RunningShare FleetBook::othersOn(const std::string &Target) const {
  auto Found = OnTarget_.find(Target);
  return Found == OnTarget_.end() ? RunningShare() : Found->second;
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
  Held->second.ReadyAt_ = Now + LateStep;
  NotBefore_[{Engine, Adapter}] = Now + LateStep;
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

std::size_t FleetBook::heardVms(TimePoint Now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(Vms_, [&](const auto &Entry) {
        return Entry.second.At_ + NewsTime >= Now;
      }));
}

bool FleetBook::isServing(const std::string &Vm, TimePoint Now) const {
  auto Found = Vms_.find(Vm);
  return Found != Vms_.end() && Found->second.At_ + NewsTime >= Now &&
         !Found->second.News_.Leaving_;
}

} // namespace anvil
