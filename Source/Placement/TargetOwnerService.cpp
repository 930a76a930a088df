#include "Placement/TargetOwnerService.h"

#include "Http/Spawn.h"
#include "Placement/PlacementLookup.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;

/// How often deadlines, leases and postponed loads are looked at.
static constexpr Duration TickPeriod = std::chrono::milliseconds(50);

/// The answer that sends the asker to another VM.
static PermitReplyMessage notOwner(std::string Owner) {
  PermitReplyMessage Reply;
  Reply.Owner_ = std::move(Owner);
  return Reply;
}

TargetOwnerService::TargetOwnerService(asio::any_io_executor Executor,
                                       const DaemonSettings &Settings,
                                       TimerService &Timers,
                                       const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      State_(Services.require<ConfigState>(ConfigState::Name)),
      Members_(Services.require<MembershipService>(MembershipService::Name)),
      Network_(Services.require<PeerNetwork>(PeerNetwork::Name)),
      Ownership_(Services.require<OwnershipService>(OwnershipService::Name)),
      Directory_(Services.require<TargetDirectory>(TargetDirectory::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)) {
  auto Gate = Services.require<StoreGate>(StoreGate::Name);
  StoreStart_ = [Gate](std::string Load) {
    return Gate->startLoad(std::move(Load));
  };
  StoreEnd_ = [Gate](const std::string &Load) { Gate->endLoad(Load); };
}

std::vector<std::string> TargetOwnerService::dependencies() const {
  return {std::string(OwnershipService::Name), std::string(StoreGate::Name)};
}

Status TargetOwnerService::start() {
  answerPeers<PermitRequestMessage>(
      *Network_, [this](std::string, PermitRequestMessage Given) {
        return answer(std::move(Given));
      });
  listenToPeers<PermitReleaseMessage>(
      *Network_, [this](const std::string &,
                        const PermitReleaseMessage &Given) { release(Given); });
  listenToPeers<PermitInventoryMessage>(
      *Network_,
      [this](const std::string &From, const PermitInventoryMessage &Given) {
        if (!Given.Ask_)
          takeInventory(From, Given);
        else if (Inventory_)
          notifyPeer(*Network_, From, Inventory_());
      });
  listenToPeers<TargetReportMessage>(
      *Network_,
      [this](const std::string &From, const TargetReportMessage &Given) {
        for (const TargetReportItem &Item : Given.Items_)
          takeReport(From, Item);
      });
  Ownership_->Changed_.attach([this] { reconcile(BootClock::now()); });
  Tick_ = Timers_.every(TickPeriod, BootClock::now(),
                        [this](TimePoint Now) { tick(Now); });
  Duration Period = std::chrono::milliseconds(Settings_.Targets_.StatusPollMs_);
  Poll_ = Timers_.every(Period, BootClock::now(), [this](TimePoint) {
    for (const auto &[Target, Entry] : Owned_)
      spawn(Executor_, poll(Entry));
  });
  return std::monostate{};
}

void TargetOwnerService::stop() {
  Tick_.cancel();
  Poll_.cancel();
}

TargetOwnerOptions TargetOwnerService::optionsOf(const Target &Known) const {
  const PlacementSettings &Given = Settings_.Placement_;
  TargetOwnerOptions Options;
  Options.Slots_ = Known.Slots_;
  Options.AdapterSlots_ = Known.AdapterSlots_;
  Options.Limits_ = {static_cast<std::size_t>(Given.QueueLength_),
                     static_cast<std::size_t>(Given.QueueLengthPerCustomer_)};
  Options.Order_ = Given.Queue_ == QueuePolicy::Fair ? QueueOrder::Fair
                                                     : QueueOrder::FirstCome;
  Options.Terms_.MinResidence_ =
      std::chrono::milliseconds(Given.MinResidenceMs_);
  Options.Terms_.Patience_ = std::chrono::milliseconds(Given.PatienceMs_);
  Options.Terms_.ChallengeFactor_ = Given.ChallengeFactor_;
  Options.Terms_.LongestOrder_ =
      std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_);
  return Options;
}

bool TargetOwnerService::mayOrder(const Owned &Entry) const {
  return !Entry.Dropped_ &&
         Ownership_->lease().mayOrder(Entry.Name_, Entry.ChecksFencing_,
                                      BootClock::now());
}

void TargetOwnerService::takeOver(const Target &Known, TimePoint Now) {
  std::set<std::string> Unheard;
  // Leaving VMs still have requests running.
  for (const auto &[Vm, Member] : Members_->members())
    if (Member.DataCentre_ == Settings_.DataCentre_ && Members_->isAlive(Vm))
      Unheard.insert(Vm);
  PermitInventoryMessage Ask;
  Ask.Ask_ = true;
  for (const std::string &Vm : Unheard)
    notifyPeer(*Network_, Vm, Ask);
  Endpoint Address = endpointOf(Known);
  TargetOwner Core(optionsOf(Known), std::move(Unheard), Now);
  auto Entry = std::make_shared<Owned>(
      Known.Name_, EngineClient(std::move(Address)), std::move(Core));
  Entry->ChecksFencing_ = Known.ChecksFencing_;
  Entry->Began_ = Now;
  // The wait for the lease was long enough for orders that nobody checks.
  Entry->Fenced_ = !Known.ChecksFencing_;
  Owned_[Known.Name_] = Entry;
  if (Inventory_)
    takeInventory(Settings_.Vm_, Inventory_());
  logEvent(LogLevel::Info, "target_owned",
           {{"target", Known.Name_}, {"epoch", Ownership_->lease().fencing()}});
  spawn(Executor_, poll(Entry));
  spawn(Executor_, fence(Entry));
}

void TargetOwnerService::drop(const OwnedPtr &Entry) {
  Entry->Dropped_ = true;
  Owned_.erase(Entry->Name_);
  for (const auto &[Key, Waiting] : Entry->Waiters_) {
    const OwnerLease &Lease = Ownership_->lease();
    Waiting->Reply_ =
        notOwner(Ownership_->hasGivenUp() ? Lease.successorOf(Entry->Name_)
                                          : Lease.ownerOf(Entry->Name_));
    Waiting->Timer_.cancel();
  }
  Entry->Waiters_.clear();
  logEvent(LogLevel::Info, "target_given_up", {{"target", Entry->Name_}});
}

void TargetOwnerService::reconcile(TimePoint Now) {
  const ConfigSnapshot &Set = *State_->current();
  const OwnerLease &Lease = Ownership_->lease();
  bool IsSame =
      MineRevision_ == Set.Revision_ && MineGeneration_ == Lease.fencing();
  const auto &Targets = Set.Objects_.all<Target>();
  if (!IsSame) {
    Mine_.clear();
    for (const auto &[TargetName, Known] : Targets)
      if (Known.TargetKind_ == TargetKind::Engine &&
          Known.DataCentre_ == Settings_.DataCentre_ && Lease.owns(TargetName))
        Mine_.push_back(TargetName);
    MineRevision_ = Set.Revision_;
    MineGeneration_ = Lease.fencing();
  }
  auto Before = Owned_;
  std::vector<std::string> Yielded;
  for (const auto &[TargetName, Entry] : Before) {
    if (Targets.count(TargetName) && mayOrder(*Entry))
      continue;
    drop(Entry);
    if (!Lease.owns(TargetName) && !Entry->Core_.hasOrderInFlight())
      Yielded.push_back(TargetName);
  }
  if (!Yielded.empty())
    Ownership_->yield(std::move(Yielded));
  for (const std::string &TargetName : Mine_) {
    const Target &Known = Targets.at(TargetName);
    auto Found = Owned_.find(TargetName);
    if (Found != Owned_.end())
      Found->second->Core_.configure(Known.Slots_, Known.AdapterSlots_,
                                     Known.Leaving_);
    else if (Lease.mayOrder(TargetName, Known.ChecksFencing_, Now))
      takeOver(Known, Now);
  }
}

void TargetOwnerService::dropSilentVms(Owned &Entry, TimePoint Now) {
  Duration Bound = std::chrono::milliseconds(Settings_.Placement_.SilentVmMs_);
  // A VM that does not count as alive may have come just now.
  Duration DeadBound =
      3 * std::chrono::milliseconds(Settings_.Placement_.InventoryMs_);
  for (const std::string &Vm : Entry.Core_.vmsInvolved()) {
    if (Vm == Settings_.Vm_)
      continue;
    TimePoint Heard = std::max(HeardAt_[Vm], Entry.Began_);
    if (Now - Heard > (Members_->isAlive(Vm) ? Bound : DeadBound))
      Entry.Core_.vmGone(Vm, Now);
  }
}

void TargetOwnerService::tick(TimePoint Now) {
  reconcile(Now);
  auto Entries = Owned_;
  for (const auto &[TargetName, Entry] : Entries) {
    dropSilentVms(*Entry, Now);
    if (!Entry->Fenced_)
      spawn(Executor_, fence(Entry));
    drive(Entry);
  }
}

void TargetOwnerService::drive(const OwnedPtr &Entry) {
  if (Entry->Dropped_)
    return;
  if (!mayOrder(*Entry))
    return drop(Entry);
  if (!Entry->Fenced_)
    return;
  TimePoint Now = BootClock::now();
  for (OwnerAction &Action : Entry->Core_.advance(Now))
    carryOut(Entry, Action);
  if (!Starting_ && Now >= StoreAgainAt_ && Entry->Core_.loadWish(Now)) {
    Starting_ = true;
    spawn(Executor_, startLoads());
  }
}

void TargetOwnerService::reply(Owned &Entry, const PermitKey &Key,
                               PermitReplyMessage Given) {
  auto Found = Entry.Waiters_.find(Key);
  if (Found == Entry.Waiters_.end())
    return;
  Found->second->Reply_ = std::move(Given);
  Found->second->Timer_.cancel();
  Entry.Waiters_.erase(Found);
}

void TargetOwnerService::noteGrant(const Owned &Entry,
                                   const GrantAction &Given) {
  const QueuedRequest &Request = Given.Request_;
  MetricLabels Labels{{"customer", Request.Customer_},
                      {"class", Request.Class_}};
  Metrics_->observe("anvil_queue_wait_seconds", Labels, Given.Waited_);
  const AdapterRecord *Known = Entry.Core_.adapters().find(Request.Adapter_);
  if (Known && Known->LoadedAt_ > Request.Arrived_)
    Metrics_->observe("anvil_load_stall_seconds", Labels,
                      Known->LoadedAt_ - Request.Arrived_);
}

void TargetOwnerService::carryOut(const OwnedPtr &Entry, OwnerAction &Action) {
  if (auto *Granted = std::get_if<GrantAction>(&Action)) {
    PermitReplyMessage Reply = notOwner(Settings_.Vm_);
    Reply.Answer_ = static_cast<std::uint8_t>(PermitAnswer::Granted);
    Reply.Epoch_ = Ownership_->lease().fencing();
    Reply.Incarnation_ = Entry->Core_.incarnation();
    noteGrant(*Entry, *Granted);
    reply(*Entry, Granted->Request_.Key_, std::move(Reply));
  } else if (auto *Refused = std::get_if<RefuseAction>(&Action)) {
    PermitReplyMessage Reply = notOwner(Settings_.Vm_);
    Reply.Answer_ = static_cast<std::uint8_t>(PermitAnswer::Refused);
    Reply.Code_ = refusalTraits(Refused->Reason_.Code_).Name_;
    Reply.Message_ = Refused->Reason_.Message_;
    Reply.RetryAfterUs_ =
        Refused->Reason_.RetryAfter_.value_or(Duration{0}).count();
    Metrics_->count("anvil_permit_refusals_total",
                    {{"code", Reply.Code_},
                     {"customer", Refused->Request_.Customer_},
                     {"class", Refused->Request_.Class_}});
    reply(*Entry, Refused->Request_.Key_, std::move(Reply));
  } else if (auto *Order = std::get_if<UnloadAction>(&Action)) {
    spawn(Executor_, unload(Entry, Order->Adapter_));
  } else {
    spawn(Executor_, poll(Entry));
  }
}

static QueuedRequest queuedFrom(const PermitRequestMessage &Given,
                                TimePoint Now) {
  QueuedRequest Made;
  Made.Key_ = {Given.Vm_, Given.Incarnation_, Given.Id_};
  Made.Customer_ = Given.Customer_;
  Made.Weight_ = Given.Weight_;
  Made.Class_ = Given.Class_;
  Made.Priority_ = Given.Priority_;
  Made.Ageing_ = Duration(Given.AgeingUs_);
  Made.Tokens_ = Given.Tokens_;
  Made.Adapter_ = {Given.Adapter_, Given.Version_};
  Made.Weights_ = Given.Weights_;
  Made.Arrived_ = Now - Duration(Given.WaitedUs_);
  Made.Deadline_ = Now + Duration(Given.LeftUs_);
  return Made;
}

asio::awaitable<PermitReplyMessage>
TargetOwnerService::answer(PermitRequestMessage Request) {
  auto Found = Owned_.find(Request.Target_);
  if (Found == Owned_.end() || !mayOrder(*Found->second)) {
    const OwnerLease &Lease = Ownership_->lease();
    if (Ownership_->hasGivenUp())
      co_return notOwner(Lease.successorOf(Request.Target_));
    // An owner that will not be ready soon names nobody.
    bool IsStuck = Lease.owns(Request.Target_) && !Lease.leaseEnd();
    co_return notOwner(IsStuck ? "" : Lease.ownerOf(Request.Target_));
  }
  OwnedPtr Entry = Found->second;
  if (!Entry->Fenced_)
    co_return notOwner(Settings_.Vm_);
  QueuedRequest Queued = queuedFrom(Request, BootClock::now());
  PermitKey Key = Queued.Key_;
  HeardAt_[Key.Vm_] = BootClock::now();
  auto Waiting = std::make_shared<Waiter>(Executor_);
  Waiting->Timer_.expires_after(Duration(Request.AnswerWithinUs_));
  Entry->Waiters_[Key] = Waiting;
  Entry->Core_.request(std::move(Queued), BootClock::now());
  drive(Entry);
  boost::system::error_code Ignored;
  if (!Waiting->Reply_)
    co_await Waiting->Timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  if (Waiting->Reply_)
    co_return *Waiting->Reply_;
  auto Own = Entry->Waiters_.find(Key);
  if (Own != Entry->Waiters_.end() && Own->second == Waiting)
    Entry->Waiters_.erase(Own);
  PermitReplyMessage Reply = notOwner(Settings_.Vm_);
  Reply.Answer_ = static_cast<std::uint8_t>(PermitAnswer::Waiting);
  co_return Reply;
}

void TargetOwnerService::release(const PermitReleaseMessage &Given) {
  auto Found = Owned_.find(Given.Target_);
  if (Found == Owned_.end())
    return;
  OwnedPtr Entry = Found->second;
  PermitKey Key{Given.Vm_, Given.Incarnation_, Given.Id_};
  Entry->Core_.release(Key, static_cast<PermitEnd>(Given.End_),
                       BootClock::now());
  drive(Entry);
}

void TargetOwnerService::takeInventory(const std::string &From,
                                       const PermitInventoryMessage &Given) {
  TimePoint Now = BootClock::now();
  HeardAt_[From] = Now;
  std::map<std::string, TargetInventory> ByTarget;
  for (const InventoryItem &Item : Given.Items_) {
    TargetInventory &Part = ByTarget[Item.Target_];
    if (Item.Awaited_)
      Part.Awaited_.push_back(Item.Id_);
    else
      Part.Held_.push_back({Item.Id_, {Item.Adapter_, Item.Version_}});
  }
  for (const auto &[TargetName, Entry] : Owned_) {
    TargetInventory Part = ByTarget[TargetName];
    Part.Vm_ = From;
    Part.Incarnation_ = Given.Incarnation_;
    Part.NextId_ = Given.NextId_;
    Entry->Core_.inventory(Part, Now);
  }
}

std::vector<std::string> TargetOwnerService::idleTargets() const {
  std::vector<std::string> Idle;
  for (const auto &[TargetName, Entry] : Owned_)
    if (!Entry->Core_.hasOrderInFlight())
      Idle.push_back(TargetName);
  return Idle;
}

std::vector<OwnedTargetView> TargetOwnerService::view() const {
  std::vector<OwnedTargetView> Seen;
  for (const auto &[TargetName, Entry] : Owned_)
    Seen.push_back({TargetName, Ownership_->lease().fencing(),
                    Entry->Core_.isSettled(), Entry->Core_.permitsOut(),
                    Entry->Core_.waiting()});
  return Seen;
}

} // namespace anvil
