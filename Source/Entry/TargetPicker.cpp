#include "Entry/TargetPicker.h"

#include "Balancing/SpareCapacityChoice.h"
#include "Entry/RandomFraction.h"
#include "Membership/Rendezvous.h"
#include "Serving/DispatchBaseline.h"

#include <algorithm>

namespace anvil {

/// The time from an adapter request to the order, assumed until the owner
/// replies.
static constexpr Duration OrderLatency = std::chrono::milliseconds(70);

/// How long an adapter request may wait for a reply before the engine's owner
/// counts as unresponsive, and until when after the request it does.
static constexpr Duration AdapterRequestTimeout =
    std::chrono::milliseconds(180);
static constexpr Duration AdapterRequestRetention =
    std::chrono::milliseconds(1000);

/// The minimum time before an adapter request is repeated: before the owner has
/// replied, and while the load is queued there.
static constexpr Duration AdapterRequestPeriod = std::chrono::milliseconds(60);
static constexpr Duration QueuedRequestPeriod = std::chrono::milliseconds(150);

/// What the way through another VM adds to the latency of a target.
static constexpr Duration RelayLatency = std::chrono::milliseconds(5);

TargetPicker::TargetPicker(const EntrySettings &Settings,
                           const ServiceRegistry &Services)
    : Settings_(Settings),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Owners_(Services.require<EngineOwnershipService>(
          EngineOwnershipService::Name)),
      ColdTargets_(Services.require<ColdTargets>(ColdTargets::Name)),
      Permits_(Services.require<TargetPermits>(TargetPermits::Name)),
      Reach_(Services.require<ReachService>(ReachService::Name)) {
  Reach_->Regained_.attach([this](const TargetAddress &Found) {
    ColdTargets_->recordReachable(Found.Target_, Found.Incarnation_);
  });
}

DispatchCandidate TargetPicker::describe(const ListedTarget &Listed,
                                         const TargetQuery &Query,
                                         const EnginePlan *Engine,
                                         double LoadFactor, TimePoint Now) {
  const RegisteredTarget &Entry = Listed.Entry_;
  DispatchCandidate Candidate;
  Candidate.Id_ = Entry.Id_;
  Candidate.SameDataCentre_ = Entry.DataCentre_ == Settings_.DataCentre_;
  const RunningShare &Own = Fleet_->ownShareOn(Entry.Id_);
  const RunningShare &Others = Fleet_->view().peersRunningOn(Entry.Id_);
  Candidate.Running_ = Own.Requests_ + Others.Requests_;
  Candidate.Tokens_ = static_cast<double>(Own.Tokens_ + Others.Tokens_);
  Candidate.Slots_ = std::max(1, Entry.Slots_);
  Candidate.Limited_ = Fleet_->limits()
                           .targets()
                           .rateOf(Entry.Id_, Entry.Incarnation_)
                           .has_value();
  Candidate.Cold_ =
      ColdTargets_->rateOf(Entry.Id_, Entry.Incarnation_, Now).has_value();
  Candidate.LimitIsStale_ = Fleet_->limits().targets().isStale(Entry.Id_, Now);
  Candidate.FailureShare_ = Health_.failureShare(Entry.Id_, Now);
  Candidate.SpeedFactor_ =
      Fleet_->speeds().factorOf(Entry.Id_, Entry.Incarnation_, Now);
  Candidate.ExcessLatency_ =
      Health_.excessLatency(Entry.Id_, Now, Candidate.SpeedFactor_);
  if (Engine) {
    Candidate.Prefill_ = Fleet_->prefill().remainingTime(Entry.Id_, Now);
    Candidate.KvTokens_ = Engine->KvTokens_;
    Candidate.AdapterCapacity_ = Engine->MaxAdapters_;
    Candidate.LoadFactor_ = LoadFactor;
    if (!Query.Adapter_.empty())
      Candidate.SlotWait_ =
          slotWait(Entry, Candidate.Running_, Candidate.SpeedFactor_, Now);
    describeAdapter(Candidate, Query, Now);
  } else if (Candidate.SpeedFactor_ != 1) {
    Candidate.UsualServiceTime_ =
        Fleet_->speeds().usualServiceTime(Query.Service_, Query.Route_);
  }
  return Candidate;
}

void TargetPicker::describeAdapter(DispatchCandidate &Candidate,
                                   const TargetQuery &Query, TimePoint Now) {
  const EngineView *View = Fleet_->view().engine(Candidate.Id_);
  if (!View || !View->HasModel_) {
    Candidate.Readiness_ = AdapterReadiness::Impossible;
    return;
  }
  if (Query.Adapter_.empty())
    return;
  // Adapter requests get no reply from an owner that may not send orders or is
  // unreachable.
  Candidate.HasOwner_ = View->OwnedUntil_ > Now;
  std::uint64_t Required = Plans_->versions().required(
      Query.Model_, Query.Adapter_, Now + Candidate.SlotWait_);
  auto Held = View->Adapters_.find(Query.Adapter_);
  bool IsHeld =
      Held != View->Adapters_.end() && Held->second.Version_ >= Required;
  if (IsHeld) {
    Candidate.ReadyIn_ =
        std::max<Duration>(Duration::zero(), Held->second.ReadyAt_ - Now);
    Candidate.Readiness_ = Candidate.ReadyIn_ > Duration::zero()
                               ? AdapterReadiness::Loading
                               : AdapterReadiness::Resident;
    return;
  }
  auto Queued = View->Queued_.find(Query.Adapter_);
  if (Candidate.HasOwner_ && Queued != View->Queued_.end() &&
      Queued->second > Now) {
    Candidate.Readiness_ = AdapterReadiness::Loading;
    Candidate.ReadyIn_ = Queued->second - Now;
    return;
  }
  auto Sent = AdapterRequests_.find({Candidate.Id_, Query.Adapter_});
  if (Sent != AdapterRequests_.end() &&
      Sent->second.FirstAt_ + AdapterRequestTimeout > Now) {
    Candidate.Readiness_ = AdapterReadiness::Loading;
    Candidate.ReadyIn_ = Sent->second.FirstAt_ + OrderLatency +
                         Fleet_->loadTimes().expected(LoadSource::Store) - Now;
    return;
  }
  describeAdapterSlots(Candidate, *View, Now);
  Candidate.Readiness_ = AdapterReadiness::Absent;
  Candidate.OwnerUnresponsive_ =
      Sent != AdapterRequests_.end() &&
      Sent->second.FirstAt_ + AdapterRequestRetention > Now;
  Candidate.Warm_ = View->Warm_.contains(Query.Adapter_);
  const LoadTimeEstimate &Times = Fleet_->loadTimes();
  Candidate.LoadTime_ = OrderLatency + Times.expected(LoadSource::Store);
  Candidate.WarmLoadTime_ = OrderLatency + Times.expected(LoadSource::Engine);
}

DispatchCandidate TargetPicker::adapterAt(const std::string &Target,
                                          const TargetQuery &Query,
                                          TimePoint Now) {
  DispatchCandidate Candidate;
  Candidate.Id_ = Target;
  if (const ListedTarget *Listed = Targets_->roster().find(Target))
    Candidate.SlotWait_ = slotWait(
        Listed->Entry_, Fleet_->runningOn(Target),
        Fleet_->speeds().factorOf(Target, Listed->Entry_.Incarnation_, Now),
        Now);
  describeAdapter(Candidate, Query, Now);
  return Candidate;
}

Duration TargetPicker::slotWait(const RegisteredTarget &Entry, int Running,
                                double SpeedFactor, TimePoint Now) const {
  auto RunTime = std::chrono::duration_cast<Duration>(
      SlotWaits_.meanRun(Entry.Service_) * SpeedFactor);
  return SlotWaits_.expectedWait(Entry.Id_, Running, Entry.Slots_, RunTime,
                                 Now);
}

Duration TargetPicker::holdFor(const TargetQuery &Query,
                               const TargetChoice &Chosen) const {
  return Query.Adapter_.empty()
             ? Duration::zero()
             : holdBeforeSend(Chosen.SlotWait_,
                              Plans_->versions().maxWaitAtTarget());
}

void TargetPicker::describeAdapterSlots(DispatchCandidate &Candidate,
                                        const EngineView &View,
                                        TimePoint Now) const {
  const auto &UsedHere = Fleet_->ownShareOn(Candidate.Id_).Adapters_;
  const auto &UsedElsewhere =
      Fleet_->view().peersRunningOn(Candidate.Id_).Adapters_;
  Candidate.UsedAdapterSlots_ = static_cast<int>(View.Adapters_.size());
  for (const auto &[Adapter, Held] : View.Adapters_) {
    bool IsLoading = Held.ReadyAt_ > Now;
    Candidate.InTransit_ += IsLoading ? 1 : 0;
    bool IsBusy = IsLoading || UsedHere.contains(Adapter) ||
                  UsedElsewhere.contains(Adapter);
    Candidate.PinnedAdapterSlots_ += IsBusy ? 1 : 0;
  }
}

/// Ranks candidates by the adapter's rendezvous order over engines, which is
/// stable.
static void rankByRendezvous(std::vector<DispatchCandidate> &Candidates,
                             const std::string &Adapter) {
  std::vector<std::pair<std::uint64_t, std::size_t>> Scores;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    Scores.emplace_back(rendezvousScore(Adapter, Candidates[Index].Id_), Index);
  std::ranges::sort(Scores, std::greater<>());
  for (std::size_t Rank = 0; Rank < Scores.size(); ++Rank)
    Candidates[Scores[Rank].second].HomeRank_ = Rank;
}

std::size_t
TargetPicker::select(const TargetQuery &Query, const ServicePlan &Service,
                     const std::vector<DispatchCandidate> &Candidates,
                     TimePoint Now) const {
  if (Settings_.DispatchPolicy_ != DispatchPolicy::LeastCost)
    return selectByPolicy(Candidates, Settings_.DispatchPolicy_,
                          randomFraction());
  // Requests to engines last for several reports of load, and in a small fleet
  // updates are frequent.
  bool MaySpread = Fleet_->isSplit() && !Service.Engine_ && !Candidates.empty();
  bool IsSpread =
      MaySpread &&
      StaleLoads_.isStale(
          Service.Name_, {Fleet_->knownVms(), Fleet_->peerUpdatePeriod()},
          std::ranges::min(Candidates, {}, &DispatchCandidate::Slots_).Slots_,
          Now);
  return IsSpread
             ? selectBySpareCapacity(Candidates, Query.Shape_, randomFraction())
             : selectCheapest(Candidates, Query.Shape_);
}

/// Whether a target runs the software version that a query requires, if any.
static bool isOfVersion(const ListedTarget &Target, const TargetQuery &Query) {
  return !Query.SoftwareVersion_ ||
         Target.Entry_.SoftwareVersion_ == *Query.SoftwareVersion_;
}

std::vector<const ListedTarget *>
TargetPicker::eligibleTargets(const std::string &Service) const {
  auto Targets = Targets_->roster().usable(Service);
  std::erase_if(Targets, [&](const ListedTarget *Target) {
    return Plans_->evacuations().isEvacuated(Target->Entry_.DataCentre_);
  });
  return Targets;
}

bool TargetPicker::isSameIncarnation(const TargetChoice &Chosen) const {
  const ListedTarget *Listed = Targets_->roster().find(Chosen.Target_);
  return !Listed || Listed->Entry_.Incarnation_ == Chosen.Incarnation_;
}

bool TargetPicker::hasSoftwareVersion(const TargetQuery &Query) const {
  auto Usable = Targets_->roster().usable(Query.Service_);
  return std::ranges::any_of(Usable, [&](const ListedTarget *Target) {
    return isOfVersion(*Target, Query);
  });
}

bool TargetPicker::isFullyEvacuated(const TargetQuery &Query) const {
  auto Usable = Targets_->roster().usable(Query.Service_);
  return !Usable.empty() &&
         std::ranges::all_of(Usable, [&](const ListedTarget *Target) {
           return Plans_->evacuations().isEvacuated(Target->Entry_.DataCentre_);
         });
}

std::optional<TargetChoice> TargetPicker::pick(const TargetQuery &Query,
                                               TimePoint Now) {
  ServingPlanPtr Plan = Plans_->current();
  const ServicePlan *Service =
      Plan ? Plan->findService(Query.Service_) : nullptr;
  if (!Service)
    return std::nullopt;
  const EnginePlan *Engine = Service->Engine_ ? &*Service->Engine_ : nullptr;
  bool NeedsAdapter = Engine && !Query.Adapter_.empty();
  // The queue is a sum over all engines, the same for every candidate.
  StoreQueue Queue = NeedsAdapter ? Fleet_->storeQueue(Now) : StoreQueue();
  double LoadFactor = loadFactor(Queue);
  std::vector<const ListedTarget *> Listed;
  std::vector<DispatchCandidate> Candidates;
  for (const ListedTarget *Target : eligibleTargets(Service->Name_)) {
    ReachState Reached =
        Reach_->stateOf(Target->Entry_.Id_, Target->Entry_.Incarnation_);
    bool IsDown =
        Reached == ReachState::Seeking || Reached == ReachState::Unreachable;
    bool IsSuspended = suspendedFor(Target->Entry_, Now) > Duration::zero();
    if (IsDown || IsSuspended || Query.Excluded_.contains(Target->Entry_.Id_) ||
        !isOfVersion(*Target, Query))
      continue;
    Listed.push_back(Target);
    Candidates.push_back(describe(*Target, Query, Engine, LoadFactor, Now));
    if (Reached == ReachState::Relayed)
      Candidates.back().ExcessLatency_ += RelayLatency;
  }
  if (NeedsAdapter)
    rankByRendezvous(Candidates, Query.Adapter_);
  bool IsBaseline = Settings_.DispatchPolicy_ != DispatchPolicy::LeastCost;
  if (NeedsAdapter && !IsBaseline)
    spreadAdapter(Query, Candidates, transitFactor(Queue), Now);
  std::size_t Best = select(Query, *Service, Candidates, Now);
  if (Best == Candidates.size())
    return std::nullopt;
  const RegisteredTarget &Entry = Listed[Best]->Entry_;
  auto Where = parseEndpoint(Entry.Address_);
  if (!isOk(Where))
    return std::nullopt;
  const DispatchCandidate &Candidate = Candidates[Best];
  TargetChoice Chosen;
  Chosen.Target_ = Entry.Id_;
  Chosen.Incarnation_ = Entry.Incarnation_;
  Chosen.SoftwareVersion_ = Entry.SoftwareVersion_;
  Chosen.Address_ = valueOf(Where);
  Chosen.DataCentre_ = Entry.DataCentre_;
  Chosen.IsDirect_ =
      Reach_->stateOf(Entry.Id_, Entry.Incarnation_) == ReachState::Direct;
  Chosen.Readiness_ = Candidate.Readiness_;
  Chosen.ReadyIn_ = Candidate.ReadyIn_;
  Chosen.SlotWait_ = Candidate.SlotWait_;
  Chosen.Running_ = Candidate.Running_;
  Chosen.Slots_ = Candidate.Slots_;
  Chosen.SpeedFactor_ = Candidate.SpeedFactor_;
  Chosen.Cost_ = dispatchCost(Candidate, Query.Shape_);
  Chosen.NeedsPermit_ = Candidate.Limited_ || Candidate.Cold_ ||
                        Fleet_->limits().survivedRejections(Query.Service_);
  if (Engine) {
    Chosen.Prefill_ = Candidate.Prefill_;
    Chosen.OwnPrefill_ = Fleet_->prefill().prefillTime(
        Query.Shape_.PromptTokens_, Candidate.SpeedFactor_);
  }
  if (NeedsAdapter) {
    std::uint64_t Newest =
        Plans_->versions().newest(Query.Model_, Query.Adapter_);
    const EngineView *View = Fleet_->view().engine(Entry.Id_);
    auto Held = View->Adapters_.find(Query.Adapter_);
    Chosen.HeldVersion_ =
        Held == View->Adapters_.end() ? Newest : Held->second.Version_;
    if (Newest > 0)
      Chosen.Version_ = Chosen.HeldVersion_;
    Chosen.Queue_ = Queue;
    describeLoad(Chosen, Query, Now);
  }
  return Chosen;
}

void TargetPicker::describeLoad(TargetChoice &Chosen, const TargetQuery &Query,
                                TimePoint Now) const {
  const EngineView *View = Fleet_->view().engine(Chosen.Target_);
  std::uint64_t Required = Plans_->versions().required(
      Query.Model_, Query.Adapter_, Now + Chosen.SlotWait_);
  auto Held = View->Adapters_.find(Query.Adapter_);
  if (Held != View->Adapters_.end() && Held->second.Version_ >= Required) {
    Chosen.Load_ = LoadStage::Ordered;
    Chosen.Source_ = Held->second.Source_;
    Chosen.OrderedAt_ = Held->second.OrderedAt_;
    return;
  }
  auto Queued = View->Queued_.find(Query.Adapter_);
  if (Queued != View->Queued_.end() && Queued->second > Now)
    Chosen.Load_ = LoadStage::Queued;
  if (View->Warm_.contains(Query.Adapter_))
    Chosen.Source_ = LoadSource::Engine;
}

Duration TargetPicker::suspendedFor(const RegisteredTarget &Entry,
                                    TimePoint Now) const {
  return std::max(Permits_->suspendedFor(Entry.Id_, Entry.Incarnation_, Now),
                  Reach_->backOffOf(Entry.Id_, Entry.Incarnation_, Now));
}

std::optional<Duration> TargetPicker::untilResumed(const TargetQuery &Query,
                                                   TimePoint Now) const {
  std::optional<Duration> Shortest;
  for (const ListedTarget *Target : eligibleTargets(Query.Service_)) {
    if (!isOfVersion(*Target, Query))
      continue;
    Duration Remaining = suspendedFor(Target->Entry_, Now);
    if (Remaining > Duration::zero())
      Shortest = std::min(Shortest.value_or(Remaining), Remaining);
  }
  return Shortest;
}

void TargetPicker::spreadAdapter(
    const TargetQuery &Query, const std::vector<DispatchCandidate> &Candidates,
    double TransitFactor, TimePoint Now) {
  // Loads that requests wait for take precedence over loads that only spread
  // an adapter to more engines.
  constexpr double SpreadTransitLimit = 0.6;
  if (TransitFactor > SpreadTransitLimit)
    return;
  auto Missing =
      nextHomeToLoad(Candidates, Fleet_->requestsUsing(Query.Adapter_));
  if (Missing < Candidates.size())
    requestAdapter(Query, Candidates[Missing].Id_, Now);
}

void TargetPicker::requestAdapter(const TargetQuery &Query,
                                  const std::string &Target, TimePoint Now) {
  if (NextPrune_ <= Now) {
    std::erase_if(AdapterRequests_, [&](const auto &Entry) {
      return Entry.second.FirstAt_ + AdapterRequestRetention < Now;
    });
    NextPrune_ = Now + AdapterRequestRetention;
  }
  const EngineView *View = Fleet_->view().engine(Target);
  bool IsQueued = View && View->Queued_.contains(Query.Adapter_);
  SentRequest &Sent = AdapterRequests_[{Target, Query.Adapter_}];
  if (Sent.LastAt_ + (IsQueued ? QueuedRequestPeriod : AdapterRequestPeriod) >
      Now)
    return;
  if (Sent.FirstAt_ == TimePoint{} ||
      Sent.FirstAt_ + AdapterRequestRetention < Now)
    Sent.FirstAt_ = Now;
  Sent.LastAt_ = Now;
  Owners_->requestAdapter(Target, Query.Adapter_, requestedVersion(Query),
                          Waiting_.demandFor(Query.Adapter_));
}

std::uint64_t TargetPicker::requestedVersion(const TargetQuery &Query) const {
  std::uint64_t Newest =
      Plans_->versions().newest(Query.Model_, Query.Adapter_);
  return std::max<std::uint64_t>(Newest, 1);
}

void TargetPicker::recordMissing(const TargetQuery &Query,
                                 const std::string &Target) {
  if (!Fleet_->view().recordMissingAdapter(Target, Query.Adapter_,
                                           BootClock::now()))
    return;
  Owners_->reportMissing(Target, Query.Adapter_, requestedVersion(Query),
                         Waiting_.demandFor(Query.Adapter_));
}

bool TargetPicker::isSought(const TargetQuery &Query) const {
  return std::ranges::any_of(
      eligibleTargets(Query.Service_), [&](const ListedTarget *Target) {
        return isOfVersion(*Target, Query) &&
               Reach_->stateOf(Target->Entry_.Id_,
                               Target->Entry_.Incarnation_) ==
                   ReachState::Seeking;
      });
}

} // namespace anvil
