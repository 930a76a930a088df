#include "Serving/EngineController.h"

#include "Kernel/EnumNames.h"
#include "Kernel/EraseLowest.h"

#include <algorithm>
#include <tuple>

namespace anvil {

/// How long an adapter counts as in use after its last recorded use; VMs report
/// uses at least every few hundred milliseconds.
static constexpr Duration UseTimeout = std::chrono::milliseconds(700);

/// The transit factor of the weight store above which no further load starts.
/// Above one, so that the store does not idle because updates from other VMs
/// are late.
static constexpr double MaxTransitFactor = 1.25;

/// The same for loads whose requests are late, so that the loads of other
/// engines whose requests can still be on time precede them at the store.
static constexpr double MaxLateTransitFactor = 1;

/// By how much an expected end of a load is postponed when it has passed.
static constexpr Duration LoadExtension = std::chrono::milliseconds(60);

/// The time after which a request for an adapter has been repeated by the VM
/// that sent it.
static constexpr Duration RepeatDelay = std::chrono::milliseconds(40);

/// One of this number of loads is chosen among those that have waited for too
/// long.
static constexpr std::uint64_t LoadsPerOverdueOne = 4;

/// Loads in transit are expected earlier when the expected time falls below
/// this share of the previous one.
static constexpr double FallenShare = 0.75;

/// How long reports may lag behind the accepted orders; the platform's
/// documentation speaks of some hundred milliseconds. An order that no report
/// has shown after this time was not accepted: the answer that said so was that
/// of another order.
static constexpr Duration MaxReportLag = std::chrono::milliseconds(1000);

/// The interval between reports while a replacement waits for its runs, and the
/// time after which the engine counts as not carrying it out.
static constexpr Duration ReplacementCheckPeriod =
    std::chrono::milliseconds(250);
static constexpr Duration MaxReplacementTime = std::chrono::seconds(30);

/// The interval after which the engine's state is read again during a model
/// load.
static constexpr Duration ModelLoadCheckPeriod = std::chrono::milliseconds(400);

std::string_view orderKindName(OrderKind Kind) {
  return enumName(Kind, OrderKindNames);
}

std::string_view orderResultName(OrderResult Result) {
  return enumName(Result, OrderResultNames);
}

void EngineController::markWarm(const std::string &Adapter, TimePoint Now) {
  Warm_[Adapter] = Now;
  if (Warm_.size() > Options_.WarmAdapters_)
    eraseLowest(Warm_);
}

bool EngineController::adopt(const EngineReport &Report, TimePoint Now) {
  bool IsOlder = HasAdopted_ && Report.OrdersAccepted_ < OrdersAccepted_;
  if (IsOlder && OlderReportsSince_.value_or(Now) + MaxReportLag > Now) {
    OlderReportsSince_ = OlderReportsSince_.value_or(Now);
    return false;
  }
  OlderReportsSince_.reset();
  HasAdopted_ = true;
  auto Previous = std::move(HeldAdapters_);
  HeldAdapters_.clear();
  auto Model = Report.Models_.find(Model_);
  HasModel_ = Model != Report.Models_.end();
  auto LastUse = [&](const std::string &Adapter) {
    auto Found = Previous.find(Adapter);
    return Found == Previous.end() ? Now - UseTimeout : Found->second.LastUse_;
  };
  if (HasModel_)
    for (const auto &[Adapter, Version] : Model->second.Adapters_) {
      HeldAdapters_[Adapter] = {Version, Now, LastUse(Adapter)};
      markWarm(Adapter, Now);
    }
  auto Loading = Report.Loading_.find(Model_);
  if (Loading != Report.Loading_.end())
    for (const auto &[Adapter, Version] : Loading->second) {
      auto Known = Previous.find(Adapter);
      // An expected end that has passed was too early.
      TimePoint ReadyAt = Known == Previous.end()
                              ? Now + Options_.AdapterLoadTime_
                              : Known->second.ReadyAt_;
      HeldAdapter &Held = HeldAdapters_[Adapter];
      if (Known != Previous.end())
        Held = Known->second;
      Held.Version_ = Version;
      Held.ReadyAt_ = std::max(ReadyAt, Now + LoadExtension);
      Held.LastUse_ = Now;
    }
  OrdersAccepted_ = Report.OrdersAccepted_;
  CertainOrders_ = Report.OrdersAccepted_;
  keepReplacement(Now);
  // A busy engine without a model is loading one.
  ModelReadyAt_ = HasModel_ ? Now : Now + ModelLoadCheckPeriod;
  NeedsReport_ = !HasModel_ && Report.Busy_;
  return true;
}

void EngineController::keepReplacement(TimePoint Now) {
  if (!Replacing_)
    return;
  auto Held = HeldAdapters_.find(Replacing_->Adapter_);
  bool IsOver = Held == HeldAdapters_.end() ||
                Held->second.Version_ >= Replacing_->Version_ ||
                Replacing_->AcceptedAt_ + MaxReplacementTime <= Now;
  if (IsOver) {
    Replacing_.reset();
    return;
  }
  Replacing_->IsWaiting_ = true;
  Replacing_->CheckAt_ = Now + ReplacementCheckPeriod;
  Held->second.Version_ = Replacing_->Version_;
  Held->second.ReadyAt_ = Now + Options_.AdapterLoadTime_;
}

void EngineController::setLoadTimes(const LoadTimeEstimate &Estimate,
                                    std::uint64_t LoadNumber, TimePoint Now) {
  Options_.AdapterLoadTime_ =
      Estimate.expectedForLoad(LoadSource::Store, LoadNumber);
  Options_.WarmAdapterLoadTime_ = Estimate.expected(LoadSource::Engine);
  UsualStoreLoad_ = Estimate.usual(LoadSource::Store);
  PrefersOverdue_ = LoadNumber % LoadsPerOverdueOne == 0;
  Duration Expected = Estimate.expected(LoadSource::Store);
  Duration Before = std::exchange(ExpectedStoreLoad_, Expected);
  if (Expected >= Before * FallenShare)
    return;
  for (auto &[Adapter, Held] : HeldAdapters_)
    if (Held.OrderedAt_ && Held.Source_ == LoadSource::Store &&
        Held.ReadyAt_ > Now)
      Held.ReadyAt_ =
          std::min(Held.ReadyAt_, std::max(Now, *Held.OrderedAt_ + Expected));
}

std::optional<TimePoint> EngineController::requestAdapter(
    const std::string &Adapter, std::uint64_t Version, TimePoint Now,
    const LoadDemand &Demand, const std::string &Vm) {
  auto Held = HeldAdapters_.find(Adapter);
  if (Held != HeldAdapters_.end() && Held->second.Version_ >= Version) {
    Held->second.LastUse_ = Now;
    return Held->second.ReadyAt_;
  }
  auto [It, IsNew] = Requests_.try_emplace(Adapter);
  PendingRequest &Request = It->second;
  Request.Version_ = std::max(Request.Version_, Version);
  if (IsNew)
    Request.FirstAt_ = Now;
  Request.LastAt_ = Now;
  Request.Demands_[Vm] = {Demand, Now};
  return std::nullopt;
}

void EngineController::recordUse(const std::string &Adapter, TimePoint Now) {
  auto Held = HeldAdapters_.find(Adapter);
  if (Held != HeldAdapters_.end())
    Held->second.LastUse_ = std::max(Held->second.LastUse_, Now);
}

void EngineController::recordNewVersion(const std::string &Adapter,
                                        std::uint64_t Version,
                                        TimePoint ReplaceBy) {
  auto Held = HeldAdapters_.find(Adapter);
  if (Held == HeldAdapters_.end() || Held->second.Version_ >= Version)
    return;
  Replacement &Planned = Replacements_[Adapter];
  if (Planned.Version_ <= Version)
    Planned = {Version, ReplaceBy};
}

void EngineController::applyVersions(const VersionRequirements &Versions) {
  for (const auto &[Adapter, Held] : HeldAdapters_)
    if (auto From = Versions.outdatedFrom(Model_, Adapter, Held.Version_))
      recordNewVersion(Adapter, Versions.newest(Model_, Adapter), *From);
}

bool EngineController::isInUse(const HeldAdapter &Entry, TimePoint Now) const {
  return Entry.ReadyAt_ > Now || Entry.LastUse_ + UseTimeout > Now;
}

int EngineController::inTransit(TimePoint Now) const {
  return static_cast<int>(
      std::ranges::count_if(HeldAdapters_, [&](const auto &Entry) {
        return Entry.second.ReadyAt_ > Now;
      }));
}

std::size_t EngineController::maxHeldAdapters(TimePoint Now) const {
  int Reserved =
      Now < Options_.ReserveSlotUntil_ && Options_.MaxAdapters_ > 1 ? 1 : 0;
  return static_cast<std::size_t>(Options_.MaxAdapters_ - Reserved);
}

std::optional<std::string>
EngineController::evictionCandidate(TimePoint Now) const {
  std::optional<std::string> Candidate;
  TimePoint CandidateUse{};
  for (const auto &[Adapter, Entry] : HeldAdapters_) {
    bool IsEvictable = !isInUse(Entry, Now) && !Requests_.contains(Adapter) &&
                       Entry.ReadyAt_ + Options_.MinResidence_ <= Now;
    if (IsEvictable && (!Candidate || Entry.LastUse_ < CandidateUse)) {
      Candidate = Adapter;
      CandidateUse = Entry.LastUse_;
    }
  }
  return Candidate;
}

std::optional<EngineOrder>
EngineController::issue(EngineOrder Order, Duration Load, TimePoint Now) {
  Order.Model_ = Model_;
  Order.ExpectedOrders_ = OrdersAccepted_;
  Pending_ = Order;
  bool IsLoad = Order.Kind_ == OrderKind::LoadAdapter;
  PendingNumber_ = Options_.Unanswered_->recordSent(
      IsLoad ? Order.Adapter_ : std::string(), Order.ExpectedOrders_, Now);
  PendingLoad_ = Load;
  PendingSource_ = sourceOf(Order.Adapter_);
  return Order;
}

bool EngineController::hasRoomAfter(OrderKind Kind, const std::string &Adapter,
                                    TimePoint Now) const {
  std::set<std::string> Names;
  for (const auto &[Name, Held] : HeldAdapters_)
    Names.insert(Name);
  if (Kind == OrderKind::UnloadAdapter)
    Names.erase(Adapter);
  else
    Names.insert(Adapter);
  std::size_t Added = Options_.Unanswered_->maxAdded(
      CertainOrders_, OrdersAccepted_, Names, Now);
  // An order that takes no room leaves the engine no fuller than it is.
  bool IsGrowth =
      Kind == OrderKind::LoadAdapter && !HeldAdapters_.contains(Adapter);
  if (Added == 0 && !IsGrowth)
    return true;
  auto Max = IsGrowth ? maxHeldAdapters(Now)
                      : static_cast<std::size_t>(Options_.MaxAdapters_);
  return Names.size() + Added <= Max;
}

bool EngineController::mayReplace(const HeldAdapter &Held, TimePoint ReplaceBy,
                                  TimePoint Now) const {
  return !isInUse(Held, Now) || ReplaceBy <= Now;
}

TimePoint EngineController::replaceBy(const std::string &Adapter,
                                      TimePoint Otherwise) const {
  auto Found = Replacements_.find(Adapter);
  return Found == Replacements_.end() ? Otherwise : Found->second.By_;
}

std::optional<EngineOrder> EngineController::makeRoom(TimePoint Now) {
  auto Candidate = evictionCandidate(Now);
  if (!Candidate || !hasRoomAfter(OrderKind::UnloadAdapter, *Candidate, Now))
    return std::nullopt;
  return issue({OrderKind::UnloadAdapter, "", *Candidate, 0, 0}, {}, Now);
}

LoadDemand EngineController::demandOf(const PendingRequest &Request,
                                      TimePoint Now) const {
  LoadDemand Sum;
  for (const auto &[Vm, Stated] : Request.Demands_) {
    const auto &[Demand, At] = Stated;
    if (At + Options_.MaxRequestAge_ < Now)
      continue;
    Sum.Rank_ = std::min(Sum.Rank_, Demand.Rank_);
    Sum.AimAt_ = std::min(Sum.AimAt_, Demand.AimAt_);
    Sum.Waiting_ += Demand.Waiting_;
  }
  return Sum;
}

LoadSource EngineController::sourceOf(const std::string &Adapter) const {
  return Warm_.contains(Adapter) ? LoadSource::Engine : LoadSource::Store;
}

Duration EngineController::loadTime(const std::string &Adapter) const {
  return sourceOf(Adapter) == LoadSource::Engine ? Options_.WarmAdapterLoadTime_
                                                 : Options_.AdapterLoadTime_;
}

LoadPriority EngineController::priorityOf(const RequestEntry &Entry,
                                          TimePoint Now) const {
  return loadPriority(demandOf(Entry.second, Now), Entry.second.FirstAt_,
                      UsualStoreLoad_, PrefersOverdue_, Now);
}

bool EngineController::isRepeatedRequest(const std::string &Adapter,
                                         TimePoint Now) const {
  auto Found = Requests_.find(Adapter);
  return Found != Requests_.end() &&
         Found->second.FirstAt_ + RepeatDelay <= Now;
}

std::map<std::string, Duration>
EngineController::queuedLoads(const StoreQueue &Fleet, TimePoint Now) const {
  std::vector<std::pair<LoadPriority, std::string>> Order;
  for (const RequestEntry &Entry : Requests_)
    if (Entry.second.LastAt_ + Options_.MaxRequestAge_ >= Now)
      Order.emplace_back(priorityOf(Entry, Now), Entry.first);
  std::ranges::sort(Order);
  std::map<std::string, Duration> Queued;
  for (std::size_t Index = 0; Index < Order.size(); ++Index) {
    const std::string &Adapter = Order[Index].second;
    StoreQueue Ahead = Fleet;
    Ahead.Queued_ *=
        static_cast<double>(Index) / static_cast<double>(Order.size());
    Duration Expected = sourceOf(Adapter) == LoadSource::Engine
                            ? Options_.WarmAdapterLoadTime_
                            : expectedLoadEnd(Ahead);
    // The engine may be blocked, for example because it can evict no adapter.
    // Nothing tells for how long, so it is taken to last as long again.
    Queued[Adapter] = std::max(Expected, Now - Requests_.at(Adapter).FirstAt_);
  }
  return Queued;
}

std::optional<EngineOrder> EngineController::nextOrder(double TransitFactor,
                                                       TimePoint Now) {
  if (Pending_ || NeedsReport_)
    return std::nullopt;
  if (!HasModel_) {
    if (ModelReadyAt_ > Now)
      return std::nullopt;
    return issue({OrderKind::LoadModel, "", "", 0, 0}, ModelLoadCheckPeriod,
                 Now);
  }
  bool MustCheck =
      Replacing_ && Replacing_->IsWaiting_
          ? Replacing_->CheckAt_ <= Now
          : OrdersAccepted_ > CertainOrders_ + UnansweredOrders::MaxAhead;
  if (MustCheck)
    NeedsReport_ = true;
  if (MustCheck || (Replacing_ && Replacing_->IsWaiting_))
    return std::nullopt;
  auto LoadTime = [&](const std::string &Adapter) {
    return std::chrono::duration_cast<Duration>(loadTime(Adapter) *
                                                std::max(1.0, TransitFactor));
  };
  bool CanLoad = inTransit(Now) < Options_.MaxInTransit_;
  for (auto It = Replacements_.begin(); It != Replacements_.end();) {
    auto Held = HeldAdapters_.find(It->first);
    bool IsObsolete = Held == HeldAdapters_.end() ||
                      Held->second.Version_ >= It->second.Version_;
    if (IsObsolete) {
      It = Replacements_.erase(It);
      continue;
    }
    if (CanLoad && mayReplace(Held->second, It->second.By_, Now) &&
        hasRoomAfter(OrderKind::LoadAdapter, It->first, Now)) {
      EngineOrder Order{OrderKind::LoadAdapter, "", It->first,
                        It->second.Version_, 0};
      return issue(Order, Options_.AdapterLoadTime_, Now);
    }
    ++It;
  }
  std::erase_if(Requests_, [&](const auto &Entry) {
    return Entry.second.LastAt_ + Options_.MaxRequestAge_ < Now;
  });
  if (Requests_.empty() || !CanLoad)
    return std::nullopt;
  auto Order = [&](const auto &Entry) {
    LoadPriority Priority = priorityOf(Entry, Now);
    bool IsUrgent = Priority.Group_ == LoadPriority::Group::Overdue ||
                    Priority.Group_ == LoadPriority::Group::InTime;
    bool StoreIsBusy =
        TransitFactor > (IsUrgent ? MaxTransitFactor : MaxLateTransitFactor);
    bool MustWait = StoreIsBusy && !Warm_.contains(Entry.first);
    auto Outdated = HeldAdapters_.find(Entry.first);
    if (Outdated != HeldAdapters_.end())
      MustWait = !mayReplace(
          Outdated->second, replaceBy(Entry.first, Entry.second.FirstAt_), Now);
    return std::tuple(MustWait, Priority, Entry.second.FirstAt_);
  };
  auto First = std::ranges::min_element(Requests_, {}, Order);
  if (std::get<0>(Order(*First)))
    return std::nullopt;
  if (!hasRoomAfter(OrderKind::LoadAdapter, First->first, Now))
    return makeRoom(Now);
  EngineOrder Load{OrderKind::LoadAdapter, "", First->first,
                   First->second.Version_, 0};
  return issue(Load, LoadTime(First->first), Now);
}

void EngineController::recordCount(const EngineOrder &Order, OrderResult Result,
                                   bool WasHeld, TimePoint Now) {
  std::uint64_t Before = Order.ExpectedOrders_;
  bool IsLoad = Order.Kind_ == OrderKind::LoadAdapter;
  // An engine that holds what is to be loaded responds without executing the
  // order; it then says nothing of its count.
  if (Result == OrderResult::AlreadyHolds &&
      Order.Kind_ != OrderKind::UnloadAdapter)
    return;
  ++OrdersAccepted_;
  UnansweredOrders &Unanswered = *Options_.Unanswered_;
  bool IsNewLoad = IsLoad && !WasHeld;
  bool IsCertain = CertainOrders_ == Before;
  // An order that the engine is carrying out already is accepted again, but
  // counted once.
  if (IsLoad && WasHeld)
    IsCertain = IsCertain && !Unanswered.anyExpecting(Before, Before + 1, Now);
  else if (IsNewLoad)
    IsCertain =
        IsCertain || !Unanswered.anyExpecting(CertainOrders_, Before, Now);
  if (!IsCertain)
    return;
  CertainOrders_ = OrdersAccepted_;
  Unanswered.recordCertainCount(CertainOrders_, Now);
}

void EngineController::recordOrderResult(OrderResult Result, TimePoint Now) {
  if (!Pending_)
    return;
  EngineOrder Order = *std::exchange(Pending_, std::nullopt);
  if (Result != OrderResult::Unknown)
    Options_.Unanswered_->recordResponse(PendingNumber_);
  bool Succeeded =
      Result == OrderResult::Accepted || Result == OrderResult::AlreadyHolds;
  if (!Succeeded) {
    // A conflict reveals that an unanswered order was executed.
    if (Result != OrderResult::Unknown)
      NeedsReport_ = true;
    if (Result == OrderResult::Refused)
      Requests_.erase(Order.Adapter_);
    return;
  }
  bool WasHeld = HeldAdapters_.contains(Order.Adapter_);
  recordCount(Order, Result, WasHeld, Now);
  switch (Order.Kind_) {
  case OrderKind::LoadModel:
    ModelReadyAt_ = Now + PendingLoad_;
    NeedsReport_ = true;
    break;
  case OrderKind::LoadAdapter: {
    HeldAdapter &Entry = HeldAdapters_[Order.Adapter_];
    Entry.Version_ = Order.Version_;
    Entry.ReadyAt_ = Result == OrderResult::Accepted ? Now + PendingLoad_ : Now;
    Entry.LastUse_ = std::max(Entry.LastUse_, Now);
    Entry.OrderedAt_.reset();
    if (Result == OrderResult::Accepted)
      Entry.OrderedAt_ = Now;
    Entry.Source_ = PendingSource_;
    Requests_.erase(Order.Adapter_);
    markWarm(Order.Adapter_, Now);
    if (WasHeld && Result == OrderResult::Accepted)
      Replacing_ = {Order.Adapter_, Order.Version_, Now, false, {}};
    break;
  }
  case OrderKind::UnloadAdapter:
    markWarm(Order.Adapter_, Now);
    HeldAdapters_.erase(Order.Adapter_);
    break;
  }
}

} // namespace anvil
