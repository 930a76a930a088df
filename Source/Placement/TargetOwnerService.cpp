#include "Placement/TargetOwnerService.h"

#include "Http/Spawn.h"
#include "Placement/PlacementLookup.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;

/// How often deadlines, leases and postponed loads are checked.
static constexpr Duration TickPeriod = std::chrono::milliseconds(50);

/// A reply that redirects the sender to another VM.
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
  auto StoreBudget =
      Services.require<StoreBudgetService>(StoreBudgetService::Name);
  StoreStart_ = [StoreBudget](std::string Load) {
    return StoreBudget->startLoad(std::move(Load));
  };
  StoreEnd_ = [StoreBudget](const std::string &Load) {
    StoreBudget->endLoad(Load);
  };
}

std::vector<std::string> TargetOwnerService::dependencies() const {
  return {std::string(OwnershipService::Name),
          std::string(StoreBudgetService::Name)};
}

Status TargetOwnerService::start() {
  handlePeerRequests<PermitRequestMessage>(
      *Network_, [this](std::string, PermitRequestMessage Message) {
        return handleRequest(std::move(Message));
      });
  handlePeerNotices<PermitReleaseMessage>(
      *Network_,
      [this](const std::string &, const PermitReleaseMessage &Message) {
        release(Message);
      });
  handlePeerNotices<PermitInventoryMessage>(
      *Network_,
      [this](const std::string &From, const PermitInventoryMessage &Message) {
        if (!Message.IsRequest_)
          applyInventory(From, Message);
        else if (Inventory_)
          notifyPeer(*Network_, From, Inventory_());
      });
  handlePeerNotices<TargetReportMessage>(
      *Network_,
      [this](const std::string &From, const TargetReportMessage &Message) {
        for (const TargetReportItem &Item : Message.Items_)
          applyReport(From, Item);
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

TargetOwnerOptions
TargetOwnerService::optionsOf(const Target &TargetObject) const {
  const PlacementSettings &Placement = Settings_.Placement_;
  TargetOwnerOptions Options;
  Options.Slots_ = TargetObject.Slots_;
  Options.AdapterSlots_ = TargetObject.AdapterSlots_;
  Options.Limits_ = {
      static_cast<std::size_t>(Placement.QueueLength_),
      static_cast<std::size_t>(Placement.QueueLengthPerCustomer_)};
  Options.Order_ = Placement.Queue_ == QueuePolicy::Fair
                       ? QueueOrder::Fair
                       : QueueOrder::FirstCome;
  Options.Terms_.MinResidence_ =
      std::chrono::milliseconds(Placement.MinResidenceMs_);
  Options.Terms_.EvictionWait_ =
      std::chrono::milliseconds(Placement.EvictionWaitMs_);
  Options.Terms_.DisplacementFactor_ = Placement.DisplacementFactor_;
  Options.Terms_.MaxOrderTime_ =
      std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_);
  return Options;
}

bool TargetOwnerService::mayOrder(const Owned &Entry) const {
  return !Entry.Stopped_ &&
         Ownership_->lease().mayOrder(Entry.Name_, Entry.ChecksFencing_,
                                      BootClock::now());
}

void TargetOwnerService::adoptTarget(const Target &TargetObject,
                                     TimePoint Now) {
  std::set<std::string> MissingInventories;
  // VMs that are leaving still have requests running.
  for (const auto &[Vm, Member] : Members_->members())
    if (Member.DataCentre_ == Settings_.DataCentre_ && Members_->isAlive(Vm))
      MissingInventories.insert(Vm);
  PermitInventoryMessage InventoryRequest;
  InventoryRequest.IsRequest_ = true;
  for (const std::string &Vm : MissingInventories)
    notifyPeer(*Network_, Vm, InventoryRequest);
  Endpoint Address = endpointOf(TargetObject);
  TargetOwner Owner(optionsOf(TargetObject), std::move(MissingInventories),
                    Now);
  auto Entry = std::make_shared<Owned>(
      TargetObject.Name_, EngineClient(std::move(Address)), std::move(Owner));
  Entry->ChecksFencing_ = TargetObject.ChecksFencing_;
  Entry->AdoptedAt_ = Now;
  // Without fencing checks, the wait before adoption already covered orders in
  // flight.
  Entry->Fenced_ = !TargetObject.ChecksFencing_;
  Owned_[TargetObject.Name_] = Entry;
  if (Inventory_)
    applyInventory(Settings_.Vm_, Inventory_());
  logEvent(LogLevel::Info, "target_owned",
           {{"target", TargetObject.Name_},
            {"epoch", Ownership_->lease().fencingToken()}});
  spawn(Executor_, poll(Entry));
  spawn(Executor_, fence(Entry));
}

void TargetOwnerService::stopOwning(const OwnedPtr &Entry) {
  Entry->Stopped_ = true;
  Owned_.erase(Entry->Name_);
  for (const auto &[Key, Waiting] : Entry->Waiters_) {
    const OwnerLease &Lease = Ownership_->lease();
    Waiting->Reply_ = notOwner(Ownership_->hasReleasedLease()
                                   ? Lease.successorOf(Entry->Name_)
                                   : Lease.ownerOf(Entry->Name_));
    Waiting->Timer_.cancel();
  }
  Entry->Waiters_.clear();
  logEvent(LogLevel::Info, "target_given_up", {{"target", Entry->Name_}});
}

void TargetOwnerService::reconcile(TimePoint Now) {
  const ConfigSnapshot &Snapshot = *State_->current();
  const OwnerLease &Lease = Ownership_->lease();
  bool IsSame = OwnTargetsRevision_ == Snapshot.Revision_ &&
                OwnTargetsGeneration_ == Lease.fencingToken();
  const auto &Targets = Snapshot.Objects_.all<Target>();
  if (!IsSame) {
    OwnTargets_.clear();
    for (const auto &[TargetName, TargetObject] : Targets)
      if (TargetObject.TargetKind_ == TargetKind::Engine &&
          TargetObject.DataCentre_ == Settings_.DataCentre_ &&
          Lease.owns(TargetName))
        OwnTargets_.push_back(TargetName);
    OwnTargetsRevision_ = Snapshot.Revision_;
    OwnTargetsGeneration_ = Lease.fencingToken();
  }
  auto Before = Owned_;
  std::vector<std::string> HandedOver;
  for (const auto &[TargetName, Entry] : Before) {
    if (Targets.count(TargetName) && mayOrder(*Entry))
      continue;
    stopOwning(Entry);
    if (!Lease.owns(TargetName) && !Entry->Owner_.hasOrderInFlight())
      HandedOver.push_back(TargetName);
  }
  if (!HandedOver.empty())
    Ownership_->announceHandover(std::move(HandedOver));
  for (const std::string &TargetName : OwnTargets_) {
    const Target &TargetObject = Targets.at(TargetName);
    auto Found = Owned_.find(TargetName);
    if (Found != Owned_.end())
      Found->second->Owner_.configure(TargetObject.Slots_,
                                      TargetObject.AdapterSlots_,
                                      TargetObject.Leaving_);
    else if (Lease.mayOrder(TargetName, TargetObject.ChecksFencing_, Now))
      adoptTarget(TargetObject, Now);
  }
}

void TargetOwnerService::expireVms(Owned &Entry, TimePoint Now) {
  Duration Timeout =
      std::chrono::milliseconds(Settings_.Placement_.InventoryTimeoutMs_);
  // A VM that is not alive in the membership may have just started.
  Duration DeadVmTimeout =
      3 * std::chrono::milliseconds(Settings_.Placement_.InventoryPeriodMs_);
  for (const std::string &Vm : Entry.Owner_.vmsInvolved()) {
    if (Vm == Settings_.Vm_)
      continue;
    TimePoint LastReceived = std::max(LastReceivedAt_[Vm], Entry.AdoptedAt_);
    if (Now - LastReceived > (Members_->isAlive(Vm) ? Timeout : DeadVmTimeout))
      Entry.Owner_.vmTerminated(Vm, Now);
  }
}

void TargetOwnerService::tick(TimePoint Now) {
  reconcile(Now);
  auto Entries = Owned_;
  for (const auto &[TargetName, Entry] : Entries) {
    expireVms(*Entry, Now);
    if (!Entry->Fenced_)
      spawn(Executor_, fence(Entry));
    drive(Entry);
  }
}

void TargetOwnerService::drive(const OwnedPtr &Entry) {
  if (Entry->Stopped_)
    return;
  if (!mayOrder(*Entry))
    return stopOwning(Entry);
  if (!Entry->Fenced_)
    return;
  TimePoint Now = BootClock::now();
  for (OwnerAction &Action : Entry->Owner_.advance(Now))
    execute(Entry, Action);
  if (!StartingLoads_ && Now >= StoreRetryAt_ && Entry->Owner_.nextLoad(Now)) {
    StartingLoads_ = true;
    spawn(Executor_, startLoads());
  }
}

void TargetOwnerService::reply(Owned &Entry, const PermitKey &Key,
                               PermitReplyMessage Message) {
  auto Found = Entry.Waiters_.find(Key);
  if (Found == Entry.Waiters_.end())
    return;
  Found->second->Reply_ = std::move(Message);
  Found->second->Timer_.cancel();
  Entry.Waiters_.erase(Found);
}

void TargetOwnerService::recordGrant(const Owned &Entry,
                                     const GrantAction &Grant) {
  const QueuedRequest &Request = Grant.Request_;
  MetricLabels Labels{{"customer", Request.Customer_},
                      {"class", Request.Class_}};
  Metrics_->observe("anvil_queue_wait_seconds", Labels, Grant.Waited_);
  const AdapterRecord *Record = Entry.Owner_.adapters().find(Request.Adapter_);
  if (Record && Record->LoadedAt_ > Request.Arrived_)
    Metrics_->observe("anvil_load_stall_seconds", Labels,
                      Record->LoadedAt_ - Request.Arrived_);
}

void TargetOwnerService::execute(const OwnedPtr &Entry, OwnerAction &Action) {
  if (auto *Granted = std::get_if<GrantAction>(&Action)) {
    PermitReplyMessage Reply = notOwner(Settings_.Vm_);
    Reply.Result_ = static_cast<std::uint8_t>(PermitResult::Granted);
    Reply.Epoch_ = Ownership_->lease().fencingToken();
    Reply.Incarnation_ = Entry->Owner_.incarnation();
    recordGrant(*Entry, *Granted);
    reply(*Entry, Granted->Request_.Key_, std::move(Reply));
  } else if (auto *Refused = std::get_if<RefuseAction>(&Action)) {
    PermitReplyMessage Reply = notOwner(Settings_.Vm_);
    Reply.Result_ = static_cast<std::uint8_t>(PermitResult::Refused);
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

static QueuedRequest queuedFrom(const PermitRequestMessage &Message,
                                TimePoint Now) {
  QueuedRequest Queued;
  Queued.Key_ = {Message.Vm_, Message.Incarnation_, Message.Id_};
  Queued.Customer_ = Message.Customer_;
  Queued.Weight_ = Message.Weight_;
  Queued.Class_ = Message.Class_;
  Queued.Priority_ = Message.Priority_;
  Queued.Ageing_ = Duration(Message.AgeingUs_);
  Queued.Tokens_ = Message.Tokens_;
  Queued.Adapter_ = {Message.Adapter_, Message.Version_};
  Queued.Weights_ = Message.Weights_;
  Queued.Arrived_ = Now - Duration(Message.WaitedUs_);
  Queued.Deadline_ = Now + Duration(Message.RemainingUs_);
  return Queued;
}

asio::awaitable<PermitReplyMessage>
TargetOwnerService::handleRequest(PermitRequestMessage Request) {
  auto Found = Owned_.find(Request.Target_);
  if (Found == Owned_.end() || !mayOrder(*Found->second)) {
    const OwnerLease &Lease = Ownership_->lease();
    if (Ownership_->hasReleasedLease())
      co_return notOwner(Lease.successorOf(Request.Target_));
    // An owner without a lease will not be ready soon, so the reply names no
    // owner.
    bool IsUnready = Lease.owns(Request.Target_) && !Lease.leaseEnd();
    co_return notOwner(IsUnready ? "" : Lease.ownerOf(Request.Target_));
  }
  OwnedPtr Entry = Found->second;
  if (!Entry->Fenced_)
    co_return notOwner(Settings_.Vm_);
  QueuedRequest Queued = queuedFrom(Request, BootClock::now());
  PermitKey Key = Queued.Key_;
  LastReceivedAt_[Key.Vm_] = BootClock::now();
  auto Waiting = std::make_shared<Waiter>(Executor_);
  Waiting->Timer_.expires_after(Duration(Request.ReplyWithinUs_));
  Entry->Waiters_[Key] = Waiting;
  Entry->Owner_.request(std::move(Queued), BootClock::now());
  drive(Entry);
  boost::system::error_code Ignored;
  if (!Waiting->Reply_)
    co_await Waiting->Timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  if (Waiting->Reply_)
    co_return *Waiting->Reply_;
  auto Registered = Entry->Waiters_.find(Key);
  if (Registered != Entry->Waiters_.end() && Registered->second == Waiting)
    Entry->Waiters_.erase(Registered);
  PermitReplyMessage Reply = notOwner(Settings_.Vm_);
  Reply.Result_ = static_cast<std::uint8_t>(PermitResult::Waiting);
  co_return Reply;
}

void TargetOwnerService::release(const PermitReleaseMessage &Message) {
  auto Found = Owned_.find(Message.Target_);
  if (Found == Owned_.end())
    return;
  OwnedPtr Entry = Found->second;
  PermitKey Key{Message.Vm_, Message.Incarnation_, Message.Id_};
  Entry->Owner_.release(Key, static_cast<PermitOutcome>(Message.End_),
                        BootClock::now());
  drive(Entry);
}

void TargetOwnerService::applyInventory(const std::string &From,
                                        const PermitInventoryMessage &Message) {
  TimePoint Now = BootClock::now();
  LastReceivedAt_[From] = Now;
  std::map<std::string, TargetInventory> ByTarget;
  for (const InventoryItem &Item : Message.Items_) {
    TargetInventory &TargetPart = ByTarget[Item.Target_];
    if (Item.Pending_)
      TargetPart.Pending_.push_back(Item.Id_);
    else
      TargetPart.Held_.push_back({Item.Id_, {Item.Adapter_, Item.Version_}});
  }
  for (const auto &[TargetName, Entry] : Owned_) {
    TargetInventory TargetPart = ByTarget[TargetName];
    TargetPart.Vm_ = From;
    TargetPart.Incarnation_ = Message.Incarnation_;
    TargetPart.NextId_ = Message.NextId_;
    Entry->Owner_.inventory(TargetPart, Now);
  }
}

std::vector<std::string> TargetOwnerService::idleTargets() const {
  std::vector<std::string> Idle;
  for (const auto &[TargetName, Entry] : Owned_)
    if (!Entry->Owner_.hasOrderInFlight())
      Idle.push_back(TargetName);
  return Idle;
}

std::vector<OwnedTargetView> TargetOwnerService::view() const {
  std::vector<OwnedTargetView> Views;
  for (const auto &[TargetName, Entry] : Owned_)
    Views.push_back({TargetName, Ownership_->lease().fencingToken(),
                     Entry->Owner_.hasAllInventories(),
                     Entry->Owner_.outstandingPermits(),
                     Entry->Owner_.waiting()});
  return Views;
}

} // namespace anvil
