#include "Placement/TargetOwner.h"

#include "Kernel/Invariant.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// A load is urgent once a request for it has waited for this fraction (one
/// divided by the value) of the time from its arrival to its deadline.
static constexpr int UrgentDivisor = 4;

/// The share of an engine's request slots that one adapter may need before a
/// second engine should hold it.
static constexpr double HighDemandSlotShare = 0.5;

/// How often waiting requests are checked against the expected loads.
static constexpr Duration LoadForecastPeriod = std::chrono::milliseconds(100);

/// The least retry delay of a refusal.
static constexpr Duration MinRetryAfter = std::chrono::seconds(1);

bool LoadCandidate::precedes(const LoadCandidate &Other) const {
  if (Urgent_ != Other.Urgent_)
    return Urgent_;
  if (Urgent_)
    return Oldest_ < Other.Oldest_;
  if (Priority_ != Other.Priority_)
    return Priority_ > Other.Priority_;
  if (WaitingTokens_ != Other.WaitingTokens_)
    return WaitingTokens_ > Other.WaitingTokens_;
  return Oldest_ < Other.Oldest_;
}

TargetOwner::TargetOwner(TargetOwnerOptions Options,
                         std::set<std::string> MissingInventories,
                         TimePoint Now)
    : Options_(Options), MissingInventories_(std::move(MissingInventories)),
      Queue_(Options.Limits_, Options.Order_), Adapters_(Options.Terms_, Now) {}

void TargetOwner::configure(std::int64_t Slots, std::int64_t AdapterSlots,
                            bool Leaving) {
  Options_.Slots_ = Slots;
  Options_.AdapterSlots_ = AdapterSlots;
  Leaving_ = Leaving;
}

void TargetOwner::refuse(QueuedRequest Request, Refusal Reason) {
  RefuseAction Action{std::move(Request), std::move(Reason)};
  Actions_.push_back(std::move(Action));
}

void TargetOwner::addPermit(const PermitKey &Key, const AdapterRef &Adapter,
                            TimePoint Now) {
  OutstandingPermit Added{Adapter, Now, std::nullopt};
  checkInvariant(Permits_.emplace(Key, std::move(Added)).second,
                 "a permit was granted twice");
  ++Adapters_.record(Adapter).Permits_;
}

void TargetOwner::dropPermit(
    std::map<PermitKey, OutstandingPermit>::iterator Entry, TimePoint Now) {
  AdapterRecord &Record = Adapters_.record(Entry->second.Adapter_);
  checkInvariant(Record.Permits_ > 0, "a permit ended that was not counted");
  --Record.Permits_;
  Record.LastUse_ = Now;
  Estimate_.recordHold(Now - Entry->second.GrantedAt_);
  Permits_.erase(Entry);
}

void TargetOwner::request(QueuedRequest Request, TimePoint Now) {
  if (Leaving_)
    return refuse(std::move(Request),
                  {RefusalCode::NoTarget, "the target is leaving",
                   Execution::No, MinRetryAfter});
  orphan(Request.Key_.Vm_, Request.Key_.Incarnation_, Now);
  if (auto Held = Permits_.find(Request.Key_); Held != Permits_.end()) {
    Actions_.push_back(GrantAction{std::move(Request), Duration{0}});
    return;
  }
  if (Queue_.contains(Request.Key_))
    return;
  Adapters_.recordDemand(Request.Adapter_, Now);
  Duration Wait = estimateWait(Request.Adapter_, Request.Priority_, Now);
  Duration RetryAfter = std::max(Wait, MinRetryAfter);
  // Loads that precede this one may still be requested, so the deadline has to
  // leave time for twice the wait for the weight store.
  const AdapterRecord *Record = Adapters_.find(Request.Adapter_);
  bool IsAbsent = !Record || Record->State_ == Residency::Absent;
  Duration LoadMargin =
      IsAbsent ? loadDelay(Request.Adapter_, Now) : Duration{0};
  if (Now + Wait + LoadMargin >= Request.Deadline_)
    return refuse(std::move(Request),
                  {RefusalCode::DeadlineUnreachable,
                   "the estimated wait for the target exceeds the deadline",
                   Execution::No, RetryAfter});
  QueuedRequest Copy = Request;
  if (!Queue_.push(std::move(Request)))
    refuse(std::move(Copy),
           {RefusalCode::QueueFull, "too many requests wait for the target",
            Execution::No, RetryAfter});
}

void TargetOwner::release(const PermitKey &Key, PermitOutcome End,
                          TimePoint Now) {
  Queue_.removeIf([&](const QueuedRequest &Item) { return Item.Key_ == Key; });
  auto Found = Permits_.find(Key);
  if (Found == Permits_.end())
    return;
  AdapterRef Adapter = Found->second.Adapter_;
  dropPermit(Found, Now);
  // Only the engine's status shows which adapters it lacks and whether it
  // restarted.
  if (End != PermitOutcome::AdapterMissing &&
      End != PermitOutcome::TargetFailed)
    return;
  if (End == PermitOutcome::AdapterMissing)
    Adapters_.recordMissing(Adapter, Now);
  Actions_.push_back(PollAction{});
}

void TargetOwner::orphan(const std::string &Vm,
                         const std::string &KeptIncarnation, TimePoint Now) {
  PermitKey First{Vm, "", 0};
  for (auto Entry = Permits_.lower_bound(First);
       Entry != Permits_.end() && Entry->first.Vm_ == Vm; ++Entry)
    if (Entry->first.Incarnation_ != KeptIncarnation &&
        !Entry->second.OrphanedAt_)
      Entry->second.OrphanedAt_ = Now;
}

void TargetOwner::vmTerminated(const std::string &Vm, TimePoint Now) {
  MissingInventories_.erase(Vm);
  orphan(Vm, "", Now);
  Queue_.removeIf(
      [&](const QueuedRequest &Item) { return Item.Key_.Vm_ == Vm; });
}

void TargetOwner::inventory(const TargetInventory &Inventory, TimePoint Now) {
  MissingInventories_.erase(Inventory.Vm_);
  orphan(Inventory.Vm_, Inventory.Incarnation_, Now);
  std::set<std::uint64_t> ReportedIds(Inventory.Pending_.begin(),
                                      Inventory.Pending_.end());
  for (const HeldPermit &Held : Inventory.Held_) {
    ReportedIds.insert(Held.Id_);
    PermitKey Key{Inventory.Vm_, Inventory.Incarnation_, Held.Id_};
    auto Found = Permits_.find(Key);
    if (Found == Permits_.end()) {
      Queue_.removeIf(
          [&](const QueuedRequest &Item) { return Item.Key_ == Key; });
      addPermit(Key, Held.Adapter_, Now);
    } else {
      Found->second.OrphanedAt_.reset();
    }
  }
  auto HasEnded = [&](const PermitKey &Key) {
    return Key.Vm_ == Inventory.Vm_ &&
           Key.Incarnation_ == Inventory.Incarnation_ &&
           Key.Id_ < Inventory.NextId_ && !ReportedIds.count(Key.Id_);
  };
  Queue_.removeIf(
      [&](const QueuedRequest &Item) { return HasEnded(Item.Key_); });
  for (auto Entry = Permits_.begin(); Entry != Permits_.end();) {
    auto Next = std::next(Entry);
    if (HasEnded(Entry->first))
      dropPermit(Entry, Now);
    Entry = Next;
  }
}

void TargetOwner::dropOrphans(TimePoint SentAt, TimePoint Now) {
  for (auto Entry = Permits_.begin(); Entry != Permits_.end();) {
    auto Next = std::next(Entry);
    const OutstandingPermit &Permit = Entry->second;
    const AdapterRecord *Record = Adapters_.find(Permit.Adapter_);
    bool IsIdle = !Record || Record->Running_ == 0;
    if (Permit.OrphanedAt_ && SentAt > *Permit.OrphanedAt_ && IsIdle)
      dropPermit(Entry, Now);
    Entry = Next;
  }
}

void TargetOwner::engineStatus(const EngineStatus &Status, TimePoint SentAt,
                               TimePoint Now) {
  if (Status.Incarnation_ != Incarnation_) {
    // Requests on the engine's previous incarnation have ended.
    if (!Incarnation_.empty()) {
      Permits_.clear();
      Adapters_.clearResidency(SentAt);
    }
    Incarnation_ = Status.Incarnation_;
  }
  Adapters_.adopt(Status, SentAt, Now);
  dropOrphans(SentAt, Now);
}

void TargetOwner::loadEnded(const AdapterRef &Adapter,
                            const Status &OrderStatus, TimePoint Now) {
  Adapters_.loadEnded(Adapter, OrderStatus, Now);
  if (isOk(OrderStatus))
    return;
  Actions_.push_back(PollAction{});
  TimePoint RetryAt = Adapters_.record(Adapter).NotBefore_;
  // Requests whose deadline is after the next attempt keep waiting.
  auto Refused = Queue_.removeIf([&](const QueuedRequest &Item) {
    return Item.Adapter_ == Adapter && Item.Deadline_ <= RetryAt;
  });
  for (QueuedRequest &Item : Refused)
    refuse(std::move(Item),
           {RefusalCode::AdapterUnavailable, "the adapter could not be loaded",
            Execution::No, std::max(RetryAt - Now, MinRetryAfter)});
}

void TargetOwner::unloadEnded(const AdapterRef &Adapter,
                              const Status &OrderStatus, TimePoint Now) {
  Adapters_.unloadEnded(Adapter, OrderStatus, Now);
}

bool TargetOwner::hasOrderInFlight() const {
  for (const auto &[Adapter, Record] : Adapters_.all())
    if (Record.State_ == Residency::Loading ||
        Record.State_ == Residency::Unloading ||
        Record.State_ == Residency::Uncertain)
      return true;
  return false;
}

bool TargetOwner::isGrantable(const QueuedRequest &Request) const {
  const AdapterRecord *Record = Adapters_.find(Request.Adapter_);
  return Record && Record->State_ == Residency::Resident && !Record->Draining_;
}

bool TargetOwner::isUrgent(const QueuedRequest &Request, TimePoint Now) const {
  Duration TotalTime = Request.Deadline_ - Request.Arrived_;
  return Request.isAged(Now) ||
         Now - Request.Arrived_ >= TotalTime / UrgentDivisor;
}

void TargetOwner::refuseExpired(TimePoint Now) {
  auto Expired = Queue_.removeIf(
      [&](const QueuedRequest &Item) { return Item.Deadline_ <= Now; });
  for (QueuedRequest &Item : Expired)
    refuse(std::move(Item),
           {RefusalCode::DeadlineUnreachable,
            "the request waited for the target until its deadline",
            Execution::No, std::max(Estimate_.meanHold(), MinRetryAfter)});
}

/// The earliest arrival among the candidates; `Now` when there are none.
static TimePoint oldestOf(const std::vector<LoadCandidate> &Candidates,
                          TimePoint Now) {
  TimePoint Oldest = Now;
  for (const LoadCandidate &Candidate : Candidates)
    Oldest = std::min(Oldest, Candidate.Oldest_);
  return Oldest;
}

void TargetOwner::refuseUnreachable(TimePoint Now) {
  if (Now - LoadForecastAt_ < LoadForecastPeriod)
    return;
  LoadForecastAt_ = Now;
  std::int64_t Ahead = 0;
  auto Candidates = loadCandidates(Now);
  TimePoint Oldest = oldestOf(Candidates, Now);
  for (const LoadCandidate &Candidate : Candidates) {
    const AdapterRecord *Record = Adapters_.find(Candidate.Adapter_);
    Duration LoadTime = Record ? Record->LoadTime_ : AdapterRecord().LoadTime_;
    TimePoint Ready = Estimate_.expectedLoad(Ahead, Oldest, Now) + LoadTime;
    auto Refused = Queue_.removeIf([&](const QueuedRequest &Item) {
      return Item.Adapter_ == Candidate.Adapter_ && Item.Deadline_ <= Ready;
    });
    for (QueuedRequest &Item : Refused)
      refuse(std::move(Item),
             {RefusalCode::DeadlineUnreachable,
              "the adapter can't be loaded before the deadline", Execution::No,
              std::max(Ready - Now, MinRetryAfter)});
    ++Ahead;
  }
}

void TargetOwner::grantAll(TimePoint Now) {
  auto IsEligible = [this](const QueuedRequest &Item) {
    return isGrantable(Item);
  };
  while (std::ssize(Permits_) < Options_.Slots_) {
    auto Next = Queue_.pop(Now, IsEligible);
    if (!Next)
      return;
    addPermit(Next->Key_, Next->Adapter_, Now);
    Duration Waited = Now - Next->Arrived_;
    GrantAction Granted{std::move(*Next), Waited};
    Actions_.push_back(std::move(Granted));
  }
}

std::vector<LoadCandidate> TargetOwner::loadCandidates(TimePoint Now) const {
  std::map<AdapterRef, LoadCandidate> Found;
  Queue_.forEach([&](const QueuedRequest &Item) {
    const AdapterRecord *Record = Adapters_.find(Item.Adapter_);
    bool IsAbsent = !Record || Record->State_ == Residency::Absent;
    if (!IsAbsent || (Record && Record->NotBefore_ > Now))
      return;
    auto [Entry, IsNew] = Found.try_emplace(Item.Adapter_);
    LoadCandidate &Candidate = Entry->second;
    if (IsNew)
      Candidate = {Item.Adapter_, Item.Weights_, false, Item.Priority_, 0,
                   Item.Arrived_};
    Candidate.Urgent_ |= isUrgent(Item, Now);
    Candidate.Priority_ = std::max(Candidate.Priority_, Item.Priority_);
    Candidate.WaitingTokens_ += Item.Tokens_;
    Candidate.Oldest_ = std::min(Candidate.Oldest_, Item.Arrived_);
  });
  std::vector<LoadCandidate> Candidates;
  for (auto &[Adapter, Candidate] : Found)
    Candidates.push_back(std::move(Candidate));
  std::sort(Candidates.begin(), Candidates.end(),
            [](const LoadCandidate &Left, const LoadCandidate &Right) {
              return Left.precedes(Right);
            });
  return Candidates;
}

std::optional<LoadCandidate> TargetOwner::nextLoad(TimePoint Now) const {
  // Before the first status the used adapter slots are unknown.
  if (Leaving_ || Incarnation_.empty() ||
      Adapters_.usedAdapterSlots() >= Options_.AdapterSlots_)
    return std::nullopt;
  auto Candidates = loadCandidates(Now);
  if (Candidates.empty())
    return std::nullopt;
  return Candidates.front();
}

LoadAction TargetOwner::startLoad(const LoadCandidate &Candidate,
                                  TimePoint Now) {
  checkInvariant(Adapters_.usedAdapterSlots() < Options_.AdapterSlots_,
                 "a load has no free slot on the engine");
  Estimate_.recordLoadStart(Candidate.Oldest_, Now);
  Adapters_.loadStarted(Candidate.Adapter_, Now);
  return {Candidate.Adapter_, Candidate.Weights_};
}

void TargetOwner::evict(const AdapterRef &Adapter, TimePoint Now) {
  checkInvariant(MissingInventories_.empty(),
                 "an owner evicts before all inventories arrived");
  Adapters_.unloadStarted(Adapter, Now);
  Actions_.push_back(UnloadAction{Adapter});
}

void TargetOwner::makeRoom(TimePoint Now) {
  auto Candidates = loadCandidates(Now);
  std::int64_t FreeSlots =
      Options_.AdapterSlots_ - Adapters_.usedAdapterSlots();
  // Slots that are being unloaded count as free.
  for (const auto &[Adapter, Record] : Adapters_.all())
    FreeSlots += Record.State_ == Residency::Unloading;
  bool IsDraining = false;
  for (const LoadCandidate &Candidate : Candidates) {
    if (FreeSlots-- > 0)
      continue;
    if (!MissingInventories_.empty())
      break;
    auto Idle = Adapters_.evictionCandidate(Now, true, Candidate.Urgent_);
    bool IsWithinWait = Now - Candidate.Oldest_ < Options_.Terms_.EvictionWait_;
    bool OutweighsIdle = Idle && Adapters_.value(Candidate.Adapter_, Now) >
                                     Options_.Terms_.DisplacementFactor_ *
                                         Adapters_.value(*Idle, Now);
    if (Idle && (Candidate.Urgent_ || !IsWithinWait || OutweighsIdle)) {
      evict(*Idle, Now);
      continue;
    }
    // A new status may show an adapter idle whose permits have all ended.
    // Polling again as soon as each reply arrives would keep both sides busy.
    bool MayPoll =
        !PollRequestedAt_ || Now - *PollRequestedAt_ >= MinPollInterval;
    if (!Idle && MayPoll) {
      PollRequestedAt_ = Now;
      Actions_.push_back(PollAction{});
    }
    if (Idle || !Candidate.Urgent_ || IsDraining)
      continue;
    if (auto Busy = Adapters_.evictionCandidate(Now, false, true))
      Adapters_.record(*Busy).Draining_ = IsDraining = true;
  }
  if (IsDraining)
    return;
  for (const auto &[Adapter, Record] : Adapters_.all())
    if (Record.Draining_ && Record.State_ == Residency::Resident)
      Adapters_.record(Adapter).Draining_ = false;
}

std::vector<OwnerAction> TargetOwner::advance(TimePoint Now) {
  Adapters_.expire(Now);
  refuseExpired(Now);
  refuseUnreachable(Now);
  if (Leaving_) {
    auto Waiting = Queue_.removeIf([](const QueuedRequest &) { return true; });
    for (QueuedRequest &Item : Waiting)
      refuse(std::move(Item), {RefusalCode::NoTarget, "the target is leaving",
                               Execution::No, MinRetryAfter});
  }
  makeRoom(Now);
  grantAll(Now);
  return std::exchange(Actions_, {});
}

std::vector<OwnerAction> TargetOwner::refuseAll(const Refusal &Reason) {
  auto Waiting = Queue_.removeIf([](const QueuedRequest &) { return true; });
  for (QueuedRequest &Item : Waiting)
    refuse(std::move(Item), Reason);
  return std::exchange(Actions_, {});
}

Duration TargetOwner::queueWait(std::int64_t Priority, TimePoint Now) const {
  if (std::ssize(Permits_) < Options_.Slots_)
    return Duration{0};
  std::int64_t Ahead = 0;
  Queue_.forEach([&](const QueuedRequest &Item) {
    Ahead += Item.Priority_ >= Priority || Item.isAged(Now);
  });
  return Estimate_.meanHold() * (Ahead + 1) /
         std::max<std::int64_t>(1, Options_.Slots_);
}

std::set<AdapterRef> TargetOwner::highDemandAdapters(TimePoint Now) const {
  std::set<AdapterRef> HighDemand;
  double MeanLifetime =
      toSeconds(Options_.Terms_.DemandHalfLife_) / std::log(2.0);
  for (const auto &[Adapter, Record] : Adapters_.all()) {
    double PerSecond = Adapters_.demand(Adapter, Now) / MeanLifetime;
    double SlotsNeeded = PerSecond * toSeconds(Estimate_.meanHold());
    if (SlotsNeeded >
        HighDemandSlotShare * static_cast<double>(Options_.Slots_))
      HighDemand.insert(Adapter);
  }
  return HighDemand;
}

std::set<std::string> TargetOwner::vmsInvolved() const {
  std::set<std::string> Vms = MissingInventories_;
  for (const auto &[Key, Permit] : Permits_)
    Vms.insert(Key.Vm_);
  return Vms;
}

Duration TargetOwner::loadDelay(const AdapterRef &Adapter,
                                TimePoint Now) const {
  std::int64_t Ahead = 0;
  auto Candidates = loadCandidates(Now);
  for (const LoadCandidate &Candidate : Candidates) {
    if (Candidate.Adapter_ == Adapter)
      break;
    ++Ahead;
  }
  return Estimate_.expectedLoad(Ahead, oldestOf(Candidates, Now), Now) - Now;
}

Duration TargetOwner::estimateWait(const AdapterRef &Adapter,
                                   std::int64_t Priority, TimePoint Now) const {
  Duration Wait = queueWait(Priority, Now);
  const AdapterRecord *Record = Adapters_.find(Adapter);
  if (!Record || Record->State_ != Residency::Resident)
    Wait += Record ? Record->LoadTime_ : AdapterRecord().LoadTime_;
  if (!Record || Record->State_ == Residency::Absent)
    Wait += loadDelay(Adapter, Now);
  if (Record && Record->NotBefore_ > Now)
    Wait += Record->NotBefore_ - Now;
  return Wait;
}

} // namespace anvil
