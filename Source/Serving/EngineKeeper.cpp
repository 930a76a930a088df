#include "Serving/EngineKeeper.h"

#include "Kernel/EnumNames.h"

#include <algorithm>

namespace anvil {

/// How long an adapter counts as in use after its last recorded use; VMs report
/// uses at least every few hundred milliseconds.
static constexpr Duration UseTime = std::chrono::milliseconds(700);

/// The transit factor of the weight store above which no further load starts.
/// Above one, so that the store does not idle because updates from other VMs
/// are late.
static constexpr double MostTransitFactor = 1.25;

/// By how much an expected end of a load is postponed when it has passed.
static constexpr Duration LateLoadStep = std::chrono::milliseconds(60);

/// The interval after which the engine's state is read again during a model
/// load.
static constexpr Duration ModelLoadCheck = std::chrono::milliseconds(400);

std::string_view orderKindName(OrderKind Kind) {
  return enumName(Kind, OrderKindNames);
}

std::string_view orderAnswerName(OrderAnswer Answer) {
  return enumName(Answer, OrderAnswerNames);
}

void EngineKeeper::remember(const std::string &Adapter, TimePoint Now) {
  Warm_[Adapter] = Now;
  if (Warm_.size() <= Options_.WarmAdapters_)
    return;
  Warm_.erase(std::ranges::min_element(
      Warm_, {}, [](const auto &Entry) { return Entry.second; }));
}

bool EngineKeeper::adopt(const EngineReport &Report, TimePoint Now) {
  if (HasAdopted_ && Report.OrdersAccepted_ < OrdersAccepted_)
    return false;
  HasAdopted_ = true;
  auto Before = std::move(Places_);
  Places_.clear();
  auto Model = Report.Models_.find(Model_);
  HasModel_ = Model != Report.Models_.end();
  auto LastUse = [&](const std::string &Adapter) {
    auto Found = Before.find(Adapter);
    return Found == Before.end() ? Now - UseTime : Found->second.LastUse_;
  };
  if (HasModel_)
    for (const auto &[Adapter, Version] : Model->second.Adapters_) {
      Places_[Adapter] = {Version, Now, LastUse(Adapter)};
      remember(Adapter, Now);
    }
  auto Loading = Report.Loading_.find(Model_);
  if (Loading != Report.Loading_.end())
    for (const auto &[Adapter, Version] : Loading->second) {
      auto Known = Before.find(Adapter);
      // An expected end that has passed was too early.
      TimePoint ReadyAt = Known == Before.end() ? Now + Options_.AdapterLoad_
                                                : Known->second.ReadyAt_;
      Places_[Adapter] = {Version, std::max(ReadyAt, Now + LateLoadStep), Now};
    }
  OrdersAccepted_ = Report.OrdersAccepted_;
  // A busy engine without a model is loading one.
  ModelReadyAt_ = HasModel_ ? Now : Now + ModelLoadCheck;
  NeedsReport_ = !HasModel_ && Report.Busy_;
  return true;
}

std::optional<TimePoint> EngineKeeper::want(const std::string &Adapter,
                                            std::uint64_t Version,
                                            TimePoint Now) {
  auto Held = Places_.find(Adapter);
  if (Held != Places_.end() && Held->second.Version_ >= Version) {
    Held->second.LastUse_ = Now;
    return Held->second.ReadyAt_;
  }
  auto [Place, IsNew] = Wants_.try_emplace(Adapter);
  Want &Wanted = Place->second;
  Wanted.Version_ = std::max(Wanted.Version_, Version);
  if (IsNew)
    Wanted.FirstAt_ = Now;
  Wanted.LastAt_ = Now;
  return std::nullopt;
}

void EngineKeeper::noteUse(const std::string &Adapter, TimePoint Now) {
  auto Held = Places_.find(Adapter);
  if (Held != Places_.end())
    Held->second.LastUse_ = std::max(Held->second.LastUse_, Now);
}

void EngineKeeper::noteVersion(const std::string &Adapter,
                               std::uint64_t Version, TimePoint ReplaceBy) {
  auto Held = Places_.find(Adapter);
  if (Held == Places_.end() || Held->second.Version_ >= Version)
    return;
  Replacement &Planned = Replacements_[Adapter];
  if (Planned.Version_ < Version)
    Planned = {Version, ReplaceBy};
}

bool EngineKeeper::isInUse(const AdapterPlace &Place, TimePoint Now) const {
  return Place.ReadyAt_ > Now || Place.LastUse_ + UseTime > Now;
}

int EngineKeeper::inTransit(TimePoint Now) const {
  return static_cast<int>(std::ranges::count_if(
      Places_, [&](const auto &Entry) { return Entry.second.ReadyAt_ > Now; }));
}

std::size_t EngineKeeper::mostPlaces(TimePoint Now) const {
  int Spare = Now < Options_.SpareUntil_ && Options_.MaxAdapters_ > 1 ? 1 : 0;
  return static_cast<std::size_t>(Options_.MaxAdapters_ - Spare);
}

std::optional<std::string> EngineKeeper::victim(TimePoint Now) const {
  std::optional<std::string> Oldest;
  TimePoint OldestUse{};
  for (const auto &[Adapter, Place] : Places_) {
    bool MayGo = !isInUse(Place, Now) && !Wants_.contains(Adapter) &&
                 Place.ReadyAt_ + Options_.MinResidence_ <= Now;
    if (MayGo && (!Oldest || Place.LastUse_ < OldestUse)) {
      Oldest = Adapter;
      OldestUse = Place.LastUse_;
    }
  }
  return Oldest;
}

std::optional<EngineOrder> EngineKeeper::give(EngineOrder Order,
                                              Duration Load) {
  Order.Model_ = Model_;
  Order.ExpectedOrders_ = OrdersAccepted_;
  Pending_ = Order;
  PendingLoad_ = Load;
  return Order;
}

std::optional<EngineOrder> EngineKeeper::nextOrder(double TransitFactor,
                                                   TimePoint Now) {
  if (Pending_ || NeedsReport_)
    return std::nullopt;
  if (!HasModel_) {
    if (ModelReadyAt_ > Now)
      return std::nullopt;
    return give({OrderKind::LoadModel, "", "", 0, 0}, ModelLoadCheck);
  }
  auto LoadTime = [&](const std::string &Adapter) {
    Duration Base = Warm_.contains(Adapter) ? Options_.WarmAdapterLoad_
                                            : Options_.AdapterLoad_;
    return std::chrono::duration_cast<Duration>(Base *
                                                std::max(1.0, TransitFactor));
  };
  bool MayLoad = inTransit(Now) < Options_.MaxInTransit_;
  for (auto Place = Replacements_.begin(); Place != Replacements_.end();) {
    auto Held = Places_.find(Place->first);
    bool IsMoot = Held == Places_.end() ||
                  Held->second.Version_ >= Place->second.Version_;
    if (IsMoot) {
      Place = Replacements_.erase(Place);
      continue;
    }
    if (MayLoad && (!isInUse(Held->second, Now) || Place->second.By_ <= Now)) {
      EngineOrder Order{OrderKind::LoadAdapter, "", Place->first,
                        Place->second.Version_, 0};
      return give(Order, Options_.AdapterLoad_);
    }
    ++Place;
  }
  std::erase_if(Wants_, [&](const auto &Entry) {
    return Entry.second.LastAt_ + Options_.WantTime_ < Now;
  });
  if (Wants_.empty() || !MayLoad)
    return std::nullopt;
  bool StoreIsBusy = TransitFactor > MostTransitFactor;
  auto Order = [&](const auto &Entry) {
    bool MustWait = StoreIsBusy && !Warm_.contains(Entry.first);
    return std::pair(MustWait, Entry.second.FirstAt_);
  };
  auto First = std::ranges::min_element(Wants_, {}, Order);
  if (Order(*First).first)
    return std::nullopt;
  bool TakesNewPlace = !Places_.contains(First->first);
  if (TakesNewPlace && Places_.size() >= mostPlaces(Now)) {
    auto Oldest = victim(Now);
    if (!Oldest)
      return std::nullopt;
    return give({OrderKind::UnloadAdapter, "", *Oldest, 0, 0}, {});
  }
  EngineOrder Load{OrderKind::LoadAdapter, "", First->first,
                   First->second.Version_, 0};
  return give(Load, LoadTime(First->first));
}

void EngineKeeper::noteAnswer(OrderAnswer Answer, TimePoint Now) {
  if (!Pending_)
    return;
  EngineOrder Order = *std::exchange(Pending_, std::nullopt);
  bool Took =
      Answer == OrderAnswer::Accepted || Answer == OrderAnswer::AlreadyHolds;
  if (!Took) {
    // An unanswered order is void once another one has been accepted, since
    // both expect the same count; until then a conflict reveals that it was
    // executed.
    if (Answer != OrderAnswer::Unknown)
      NeedsReport_ = true;
    if (Answer == OrderAnswer::Refused)
      Wants_.erase(Order.Adapter_);
    return;
  }
  if (Answer == OrderAnswer::Accepted ||
      Order.Kind_ == OrderKind::UnloadAdapter)
    ++OrdersAccepted_;
  switch (Order.Kind_) {
  case OrderKind::LoadModel:
    ModelReadyAt_ = Now + PendingLoad_;
    NeedsReport_ = true;
    break;
  case OrderKind::LoadAdapter: {
    AdapterPlace &Place = Places_[Order.Adapter_];
    Place.Version_ = Order.Version_;
    Place.ReadyAt_ = Answer == OrderAnswer::Accepted ? Now + PendingLoad_ : Now;
    Place.LastUse_ = std::max(Place.LastUse_, Now);
    Wants_.erase(Order.Adapter_);
    remember(Order.Adapter_, Now);
    break;
  }
  case OrderKind::UnloadAdapter:
    remember(Order.Adapter_, Now);
    Places_.erase(Order.Adapter_);
    break;
  }
}

} // namespace anvil
