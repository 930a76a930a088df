#include "Placement/TargetOwner.h"

#include "Kernel/Invariant.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The part of a request's time after which its load is urgent.
static constexpr int UrgentPart = 4;

/// The part of an engine's slots that one adapter may need before a second
/// engine should hold it.
static constexpr double CrowdedPart = 0.5;

/// How often waiting requests are compared with the loads to come.
static constexpr Duration ForesightPeriod = std::chrono::milliseconds(100);

/// The least time after which a refused caller is told to come back.
static constexpr Duration LeastRetryAfter = std::chrono::seconds(1);

bool LoadWish::goesBefore(const LoadWish &Other) const {
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
                         std::set<std::string> Unheard, TimePoint Now)
    : Options_(Options), Unheard_(std::move(Unheard)),
      Queue_(Options.Limits_, Options.Order_), Adapters_(Options.Terms_, Now) {}

void TargetOwner::configure(std::int64_t Slots, std::int64_t AdapterSlots,
                            bool Leaving) {
  Options_.Slots_ = Slots;
  Options_.AdapterSlots_ = AdapterSlots;
  Leaving_ = Leaving;
}

void TargetOwner::refuse(QueuedRequest Given, Refusal Reason) {
  RefuseAction Action{std::move(Given), std::move(Reason)};
  Actions_.push_back(std::move(Action));
}

void TargetOwner::addPermit(const PermitKey &Key, const AdapterRef &Adapter,
                            TimePoint Now) {
  PermitOut Added{Adapter, Now, std::nullopt};
  checkInvariant(Permits_.emplace(Key, std::move(Added)).second,
                 "a permit is granted twice");
  ++Adapters_.record(Adapter).Permits_;
}

void TargetOwner::dropPermit(std::map<PermitKey, PermitOut>::iterator Entry,
                             TimePoint Now) {
  AdapterRecord &Known = Adapters_.record(Entry->second.Adapter_);
  checkInvariant(Known.Permits_ > 0, "a permit was not counted");
  --Known.Permits_;
  Known.LastUse_ = Now;
  Estimate_.noteHold(Now - Entry->second.GrantedAt_);
  Permits_.erase(Entry);
}

void TargetOwner::request(QueuedRequest Asked, TimePoint Now) {
  if (Leaving_)
    return refuse(std::move(Asked),
                  {RefusalCode::NoTarget, "the target is leaving",
                   Execution::No, LeastRetryAfter});
  orphan(Asked.Key_.Vm_, Asked.Key_.Incarnation_, Now);
  if (auto Held = Permits_.find(Asked.Key_); Held != Permits_.end()) {
    Actions_.push_back(GrantAction{std::move(Asked), Duration{0}});
    return;
  }
  if (Queue_.contains(Asked.Key_))
    return;
  Adapters_.noteDemand(Asked.Adapter_, Now);
  Duration Wait = estimateWait(Asked.Adapter_, Asked.Priority_, Now);
  Duration Back = std::max(Wait, LeastRetryAfter);
  // Loads that come first may still be asked for, so a wait for the weight
  // store has to fit in twice.
  const AdapterRecord *Known = Adapters_.find(Asked.Adapter_);
  bool IsAbsent = !Known || Known->State_ == Residency::Absent;
  Duration Spare = IsAbsent ? loadDelay(Asked.Adapter_, Now) : Duration{0};
  if (Now + Wait + Spare >= Asked.Deadline_)
    return refuse(std::move(Asked),
                  {RefusalCode::DeadlineUnreachable,
                   "the wait for the target would pass the deadline",
                   Execution::No, Back});
  QueuedRequest Copy = Asked;
  if (!Queue_.push(std::move(Asked)))
    refuse(std::move(Copy),
           {RefusalCode::QueueFull, "too many requests wait for the target",
            Execution::No, Back});
}

void TargetOwner::release(const PermitKey &Key, PermitEnd End, TimePoint Now) {
  Queue_.removeIf([&](const QueuedRequest &Item) { return Item.Key_ == Key; });
  auto Found = Permits_.find(Key);
  if (Found == Permits_.end())
    return;
  AdapterRef Adapter = Found->second.Adapter_;
  dropPermit(Found, Now);
  // What the engine lacks or whether it restarted, only its status can say.
  if (End != PermitEnd::AdapterMissing && End != PermitEnd::TargetFailed)
    return;
  if (End == PermitEnd::AdapterMissing)
    Adapters_.noteMissing(Adapter, Now);
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

void TargetOwner::vmGone(const std::string &Vm, TimePoint Now) {
  Unheard_.erase(Vm);
  orphan(Vm, "", Now);
  Queue_.removeIf(
      [&](const QueuedRequest &Item) { return Item.Key_.Vm_ == Vm; });
}

void TargetOwner::inventory(const TargetInventory &Given, TimePoint Now) {
  Unheard_.erase(Given.Vm_);
  orphan(Given.Vm_, Given.Incarnation_, Now);
  std::set<std::uint64_t> Known(Given.Awaited_.begin(), Given.Awaited_.end());
  for (const HeldPermit &Held : Given.Held_) {
    Known.insert(Held.Id_);
    PermitKey Key{Given.Vm_, Given.Incarnation_, Held.Id_};
    auto Found = Permits_.find(Key);
    if (Found == Permits_.end()) {
      Queue_.removeIf(
          [&](const QueuedRequest &Item) { return Item.Key_ == Key; });
      addPermit(Key, Held.Adapter_, Now);
    } else {
      Found->second.OrphanedAt_.reset();
    }
  }
  auto IsOver = [&](const PermitKey &Key) {
    return Key.Vm_ == Given.Vm_ && Key.Incarnation_ == Given.Incarnation_ &&
           Key.Id_ < Given.NextId_ && !Known.count(Key.Id_);
  };
  Queue_.removeIf([&](const QueuedRequest &Item) { return IsOver(Item.Key_); });
  for (auto Entry = Permits_.begin(); Entry != Permits_.end();) {
    auto Next = std::next(Entry);
    if (IsOver(Entry->first))
      dropPermit(Entry, Now);
    Entry = Next;
  }
}

void TargetOwner::dropOrphans(TimePoint SentAt, TimePoint Now) {
  for (auto Entry = Permits_.begin(); Entry != Permits_.end();) {
    auto Next = std::next(Entry);
    const PermitOut &Permit = Entry->second;
    const AdapterRecord *Known = Adapters_.find(Permit.Adapter_);
    bool IsIdle = !Known || Known->Running_ == 0;
    if (Permit.OrphanedAt_ && SentAt > *Permit.OrphanedAt_ && IsIdle)
      dropPermit(Entry, Now);
    Entry = Next;
  }
}

void TargetOwner::engineStatus(const EngineStatus &Status, TimePoint SentAt,
                               TimePoint Now) {
  if (Status.Incarnation_ != Incarnation_) {
    // What ran on the engine's earlier life ended with it.
    if (!Incarnation_.empty()) {
      Permits_.clear();
      Adapters_.clearResidency(SentAt);
    }
    Incarnation_ = Status.Incarnation_;
  }
  Adapters_.adopt(Status, SentAt, Now);
  dropOrphans(SentAt, Now);
}

void TargetOwner::loadEnded(const AdapterRef &Adapter, const Status &Ended,
                            TimePoint Now) {
  Adapters_.loadEnded(Adapter, Ended, Now);
  if (isOk(Ended))
    return;
  Actions_.push_back(PollAction{});
  TimePoint Again = Adapters_.record(Adapter).NotBefore_;
  // Those who can wait for the next try do so.
  auto Hopeless = Queue_.removeIf([&](const QueuedRequest &Item) {
    return Item.Adapter_ == Adapter && Item.Deadline_ <= Again;
  });
  for (QueuedRequest &Item : Hopeless)
    refuse(std::move(Item),
           {RefusalCode::AdapterUnavailable, "the adapter could not be loaded",
            Execution::No, std::max(Again - Now, LeastRetryAfter)});
}

void TargetOwner::unloadEnded(const AdapterRef &Adapter, const Status &Ended,
                              TimePoint Now) {
  Adapters_.unloadEnded(Adapter, Ended, Now);
}

bool TargetOwner::hasOrderInFlight() const {
  for (const auto &[Adapter, Known] : Adapters_.all())
    if (Known.State_ == Residency::Loading ||
        Known.State_ == Residency::Unloading ||
        Known.State_ == Residency::Uncertain)
      return true;
  return false;
}

bool TargetOwner::isGrantable(const QueuedRequest &Given) const {
  const AdapterRecord *Known = Adapters_.find(Given.Adapter_);
  return Known && Known->State_ == Residency::Resident && !Known->Draining_;
}

bool TargetOwner::isUrgent(const QueuedRequest &Given, TimePoint Now) const {
  Duration Whole = Given.Deadline_ - Given.Arrived_;
  return Given.isAged(Now) || Now - Given.Arrived_ >= Whole / UrgentPart;
}

void TargetOwner::refuseExpired(TimePoint Now) {
  auto Expired = Queue_.removeIf(
      [&](const QueuedRequest &Item) { return Item.Deadline_ <= Now; });
  for (QueuedRequest &Item : Expired)
    refuse(std::move(Item),
           {RefusalCode::DeadlineUnreachable,
            "the request waited for the target until its deadline",
            Execution::No, std::max(Estimate_.meanHold(), LeastRetryAfter)});
}

/// When the first of the wishes was asked for; `Now` when there are none.
static TimePoint oldestOf(const std::vector<LoadWish> &Wishes, TimePoint Now) {
  TimePoint Oldest = Now;
  for (const LoadWish &Wish : Wishes)
    Oldest = std::min(Oldest, Wish.Oldest_);
  return Oldest;
}

void TargetOwner::refuseHopeless(TimePoint Now) {
  if (Now - ForeseenAt_ < ForesightPeriod)
    return;
  ForeseenAt_ = Now;
  std::int64_t Before = 0;
  auto Wishes = wishes(Now);
  TimePoint Oldest = oldestOf(Wishes, Now);
  for (const LoadWish &Wish : Wishes) {
    const AdapterRecord *Known = Adapters_.find(Wish.Adapter_);
    Duration LoadTime = Known ? Known->LoadTime_ : AdapterRecord().LoadTime_;
    TimePoint Ready = Estimate_.expectedLoad(Before, Oldest, Now) + LoadTime;
    auto Hopeless = Queue_.removeIf([&](const QueuedRequest &Item) {
      return Item.Adapter_ == Wish.Adapter_ && Item.Deadline_ <= Ready;
    });
    for (QueuedRequest &Item : Hopeless)
      refuse(std::move(Item),
             {RefusalCode::DeadlineUnreachable,
              "the adapter can't be loaded before the deadline", Execution::No,
              std::max(Ready - Now, LeastRetryAfter)});
    ++Before;
  }
}

void TargetOwner::grantAll(TimePoint Now) {
  auto MayGo = [this](const QueuedRequest &Item) { return isGrantable(Item); };
  while (std::ssize(Permits_) < Options_.Slots_) {
    auto Next = Queue_.pop(Now, MayGo);
    if (!Next)
      return;
    addPermit(Next->Key_, Next->Adapter_, Now);
    Duration Waited = Now - Next->Arrived_;
    GrantAction Granted{std::move(*Next), Waited};
    Actions_.push_back(std::move(Granted));
  }
}

std::vector<LoadWish> TargetOwner::wishes(TimePoint Now) const {
  std::map<AdapterRef, LoadWish> Found;
  Queue_.forEach([&](const QueuedRequest &Item) {
    const AdapterRecord *Known = Adapters_.find(Item.Adapter_);
    bool IsAbsent = !Known || Known->State_ == Residency::Absent;
    if (!IsAbsent || (Known && Known->NotBefore_ > Now))
      return;
    auto [Entry, IsNew] = Found.try_emplace(Item.Adapter_);
    LoadWish &Wish = Entry->second;
    if (IsNew)
      Wish = {Item.Adapter_, Item.Weights_, false, Item.Priority_, 0,
              Item.Arrived_};
    Wish.Urgent_ |= isUrgent(Item, Now);
    Wish.Priority_ = std::max(Wish.Priority_, Item.Priority_);
    Wish.WaitingTokens_ += Item.Tokens_;
    Wish.Oldest_ = std::min(Wish.Oldest_, Item.Arrived_);
  });
  std::vector<LoadWish> Wishes;
  for (auto &[Adapter, Wish] : Found)
    Wishes.push_back(std::move(Wish));
  std::sort(Wishes.begin(), Wishes.end(),
            [](const LoadWish &Left, const LoadWish &Right) {
              return Left.goesBefore(Right);
            });
  return Wishes;
}

std::optional<LoadWish> TargetOwner::loadWish(TimePoint Now) const {
  // Before the first status it is not known which places are taken.
  if (Leaving_ || Incarnation_.empty() ||
      Adapters_.placesTaken() >= Options_.AdapterSlots_)
    return std::nullopt;
  auto Wishes = wishes(Now);
  if (Wishes.empty())
    return std::nullopt;
  return Wishes.front();
}

LoadAction TargetOwner::startLoad(const LoadWish &Wish, TimePoint Now) {
  checkInvariant(Adapters_.placesTaken() < Options_.AdapterSlots_,
                 "a load has no place on the engine");
  Estimate_.noteLoadStart(Wish.Oldest_, Now);
  Adapters_.loadStarted(Wish.Adapter_, Now);
  return {Wish.Adapter_, Wish.Weights_};
}

void TargetOwner::evict(const AdapterRef &Victim, TimePoint Now) {
  checkInvariant(Unheard_.empty(), "an owner evicts before it knows all");
  Adapters_.unloadStarted(Victim, Now);
  Actions_.push_back(UnloadAction{Victim});
}

void TargetOwner::makeRoom(TimePoint Now) {
  auto Wishes = wishes(Now);
  std::int64_t Places = Options_.AdapterSlots_ - Adapters_.placesTaken();
  // Places that are being cleared already are as good as free.
  for (const auto &[Adapter, Known] : Adapters_.all())
    Places += Known.State_ == Residency::Unloading;
  bool IsDrained = false;
  for (const LoadWish &Wish : Wishes) {
    if (Places-- > 0)
      continue;
    if (!Unheard_.empty())
      break;
    auto Idle = Adapters_.victim(Now, true, Wish.Urgent_);
    bool IsPatient = Now - Wish.Oldest_ < Options_.Terms_.Patience_;
    bool IsWorthIt = Idle && Adapters_.value(Wish.Adapter_, Now) >
                                 Options_.Terms_.ChallengeFactor_ *
                                     Adapters_.value(*Idle, Now);
    if (Idle && (Wish.Urgent_ || !IsPatient || IsWorthIt)) {
      evict(*Idle, Now);
      continue;
    }
    // A status may show an adapter idle whose permits have all ended.
    // Asking as soon as the last answer is there would keep both busy.
    bool MayAsk = !PollAskedAt_ || Now - *PollAskedAt_ >= LeastPollGap;
    if (!Idle && MayAsk) {
      PollAskedAt_ = Now;
      Actions_.push_back(PollAction{});
    }
    if (Idle || !Wish.Urgent_ || IsDrained)
      continue;
    if (auto Busy = Adapters_.victim(Now, false, true))
      Adapters_.record(*Busy).Draining_ = IsDrained = true;
  }
  if (IsDrained)
    return;
  for (const auto &[Adapter, Known] : Adapters_.all())
    if (Known.Draining_ && Known.State_ == Residency::Resident)
      Adapters_.record(Adapter).Draining_ = false;
}

std::vector<OwnerAction> TargetOwner::advance(TimePoint Now) {
  Adapters_.expire(Now);
  refuseExpired(Now);
  refuseHopeless(Now);
  if (Leaving_) {
    auto Rest = Queue_.removeIf([](const QueuedRequest &) { return true; });
    for (QueuedRequest &Item : Rest)
      refuse(std::move(Item), {RefusalCode::NoTarget, "the target is leaving",
                               Execution::No, LeastRetryAfter});
  }
  makeRoom(Now);
  grantAll(Now);
  return std::exchange(Actions_, {});
}

std::vector<OwnerAction> TargetOwner::refuseAll(const Refusal &Reason) {
  auto Rest = Queue_.removeIf([](const QueuedRequest &) { return true; });
  for (QueuedRequest &Item : Rest)
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

std::set<AdapterRef> TargetOwner::crowded(TimePoint Now) const {
  std::set<AdapterRef> Found;
  double MeanLife = toSeconds(Options_.Terms_.DemandHalfLife_) / std::log(2.0);
  for (const auto &[Adapter, Known] : Adapters_.all()) {
    double PerSecond = Adapters_.demand(Adapter, Now) / MeanLife;
    double SlotsNeeded = PerSecond * toSeconds(Estimate_.meanHold());
    if (SlotsNeeded > CrowdedPart * static_cast<double>(Options_.Slots_))
      Found.insert(Adapter);
  }
  return Found;
}

std::set<std::string> TargetOwner::vmsInvolved() const {
  std::set<std::string> Vms = Unheard_;
  for (const auto &[Key, Permit] : Permits_)
    Vms.insert(Key.Vm_);
  return Vms;
}

Duration TargetOwner::loadDelay(const AdapterRef &Adapter,
                                TimePoint Now) const {
  std::int64_t Before = 0;
  auto Wishes = wishes(Now);
  for (const LoadWish &Wish : Wishes) {
    if (Wish.Adapter_ == Adapter)
      break;
    ++Before;
  }
  return Estimate_.expectedLoad(Before, oldestOf(Wishes, Now), Now) - Now;
}

Duration TargetOwner::estimateWait(const AdapterRef &Adapter,
                                   std::int64_t Priority, TimePoint Now) const {
  Duration Wait = queueWait(Priority, Now);
  const AdapterRecord *Known = Adapters_.find(Adapter);
  if (!Known || Known->State_ != Residency::Resident)
    Wait += Known ? Known->LoadTime_ : AdapterRecord().LoadTime_;
  if (!Known || Known->State_ == Residency::Absent)
    Wait += loadDelay(Adapter, Now);
  if (Known && Known->NotBefore_ > Now)
    Wait += Known->NotBefore_ - Now;
  return Wait;
}

} // namespace anvil
