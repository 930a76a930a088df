#include "Placement/OwnerPermitBroker.h"

#include "Http/Pause.h"
#include "Membership/Rendezvous.h"
#include "Placement/PlacementLookup.h"

namespace anvil {

namespace asio = boost::asio;

/// The time within which an owner replies, with `Waiting` if it has not
/// decided. An owner that does not reply by then counts as unreachable.
static constexpr Duration ReplyInterval = std::chrono::seconds(1);

/// The same for the first reply; shorter, to detect an unreachable owner early.
static constexpr Duration FirstReplyInterval = std::chrono::milliseconds(200);

/// The network round trip to the owner, allowed on top of the reply time.
static constexpr Duration NetworkAllowance = std::chrono::milliseconds(500);

/// The retry delay when no owner can be reached.
static constexpr Duration NoOwnerRetryAfter = std::chrono::seconds(1);

/// The number of redirects that a request follows.
static constexpr int MaxRedirects = 3;

/// How long a request waits for a new owner to become ready, and the interval
/// of its attempts.
static constexpr Duration MaxOwnerWait = std::chrono::seconds(3);
static constexpr Duration OwnerRetryInterval = std::chrono::milliseconds(100);

/// How long an owner in a remote data centre is sent inventories after its last
/// grant.
static constexpr Duration RemoteOwnerRetention = std::chrono::seconds(60);

OwnerPermitBroker::OwnerPermitBroker(asio::any_io_executor Executor,
                                     const DaemonSettings &Settings,
                                     TimerService &Timers,
                                     std::string Incarnation,
                                     const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Incarnation_(std::move(Incarnation)),
      Members_(Services.require<MembershipService>(MembershipService::Name)),
      Network_(Services.require<PeerNetwork>(PeerNetwork::Name)),
      Ownership_(Services.require<OwnershipService>(OwnershipService::Name)),
      Owners_(Services.require<TargetOwnerService>(TargetOwnerService::Name)),
      Directory_(Services.require<TargetDirectory>(TargetDirectory::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)) {
  Owners_->Inventory_ = [this] { return inventory(); };
}

std::vector<std::string> OwnerPermitBroker::dependencies() const {
  return {std::string(TargetOwnerService::Name)};
}

Status OwnerPermitBroker::start() {
  Duration Period =
      std::chrono::milliseconds(Settings_.Placement_.InventoryPeriodMs_);
  InventoryTimer_ =
      Timers_.every(Period, BootClock::now(),
                    [this](TimePoint Now) { sendInventories(Now); });
  return std::monostate{};
}

void OwnerPermitBroker::stop() { InventoryTimer_.cancel(); }

PermitInventoryMessage OwnerPermitBroker::inventory() const {
  PermitInventoryMessage Message;
  Message.Incarnation_ = Incarnation_;
  Message.NextId_ = NextId_;
  for (const auto &[Id, Held] : Entries_)
    Message.Items_.push_back({Held.Target_, Id, Held.Adapter_.Adapter_,
                              Held.Adapter_.Version_, Held.Pending_});
  return Message;
}

void OwnerPermitBroker::sendInventories(TimePoint Now) {
  std::erase_if(RemoteOwners_, [&](const auto &Remote) {
    return Now - Remote.second > RemoteOwnerRetention;
  });
  PermitInventoryMessage Message = inventory();
  Owners_->applyInventory(Settings_.Vm_, Message);
  for (const std::string &Vm : Members_->liveVmsIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_)
      notifyPeer(*Network_, Vm, Message);
  for (const auto &[Vm, LastGrantAt] : RemoteOwners_)
    notifyPeer(*Network_, Vm, Message);
}

static Refusal noTarget(std::string Message) {
  return {RefusalCode::NoTarget, std::move(Message), Execution::No,
          NoOwnerRetryAfter};
}

Outcome<Permit> OwnerPermitBroker::acquireService(const Target &Destination) {
  std::int64_t &Used = ServiceSlots_[Destination.Name_];
  if (Used >= Destination.Slots_)
    return Refusal{RefusalCode::QueueFull, "the service's slots are in use",
                   Execution::No, NoOwnerRetryAfter};
  ++Used;
  Permit Granted;
  Granted.Id_ = NextId_++;
  Granted.Target_ = Destination.Name_;
  Granted.Address_ = endpointOf(Destination);
  return Granted;
}

static PermitRequestMessage messageOf(const RequestContext &Request,
                                      const std::string &TargetName) {
  PermitRequestMessage Message;
  Message.Target_ = TargetName;
  Message.Customer_ = Request.Customer_;
  const Customer *CustomerObject =
      Request.Snapshot_->Objects_.find<Customer>(Request.Customer_);
  Message.Weight_ = CustomerObject ? CustomerObject->Weight_ : 1;
  Message.Class_ = Request.RequestClass_;
  Message.Priority_ = Request.Priority_;
  Message.AgeingUs_ = Request.Ageing_.count();
  Message.Tokens_ = Request.UpperBoundTokens_;
  Message.Adapter_ = Request.Adapter_.Adapter_;
  Message.Version_ = Request.Adapter_.Version_;
  Message.Weights_ = weightsOf(*Request.Snapshot_, Request.Adapter_);
  return Message;
}

asio::awaitable<Outcome<Permit>>
OwnerPermitBroker::acquire(const RequestContext &Request,
                           std::string TargetName) {
  const Target *Destination =
      Request.Snapshot_->Objects_.find<Target>(TargetName);
  if (!Destination)
    co_return noTarget("the target does not exist");
  if (Destination->Leaving_)
    co_return noTarget("the target is leaving");
  if (Destination->TargetKind_ == TargetKind::Service)
    co_return acquireService(*Destination);
  std::uint64_t Id = NextId_++;
  Entries_[Id] = {TargetName, Request.Adapter_, true};
  auto PermitOutcome = co_await acquireEngine(Request, *Destination, Id);
  if (std::holds_alternative<Permit>(PermitOutcome))
    Entries_[Id].Pending_ = false;
  else
    Entries_.erase(Id);
  co_return PermitOutcome;
}

std::string OwnerPermitBroker::firstOwner(const Target &Destination) const {
  if (Destination.DataCentre_ == Settings_.DataCentre_)
    return Ownership_->lease().ownerOf(Destination.Name_);
  auto Order = rendezvousOrder(Destination.Name_,
                               Members_->liveVmsIn(Destination.DataCentre_));
  return Order.empty() ? "" : Order.front();
}

asio::awaitable<Result<PermitReplyMessage>>
OwnerPermitBroker::requestPermit(std::string Owner,
                                 PermitRequestMessage Message) {
  if (Owner == Settings_.Vm_)
    co_return co_await Owners_->handleRequest(std::move(Message));
  Duration Timeout = Duration(Message.ReplyWithinUs_) + NetworkAllowance;
  co_return co_await callPeer<PermitReplyMessage>(*Network_, std::move(Owner),
                                                  std::move(Message), Timeout);
}

static Refusal refusalFrom(const PermitReplyMessage &Reply) {
  Refusal Reason{RefusalCode::AdapterUnavailable, Reply.Message_, Execution::No,
                 Duration(Reply.RetryAfterUs_)};
  for (int Code = 0; Code <= static_cast<int>(RefusalCode::Internal); ++Code) {
    const RefusalTraits &Traits = refusalTraits(static_cast<RefusalCode>(Code));
    if (Traits.Name_ == Reply.Code_)
      Reason.Code_ = Traits.Code_;
  }
  return Reason;
}

asio::awaitable<Outcome<Permit>>
OwnerPermitBroker::acquireEngine(const RequestContext &Request,
                                 const Target &Destination, std::uint64_t Id) {
  PermitRequestMessage Message = messageOf(Request, Destination.Name_);
  Message.Vm_ = Settings_.Vm_;
  Message.Incarnation_ = Incarnation_;
  Message.Id_ = Id;
  Permit Granted;
  Granted.Id_ = Id;
  Granted.Target_ = Destination.Name_;
  Granted.Address_ = endpointOf(Destination);
  Granted.Adapter_ = Request.Adapter_;
  std::string Owner = firstOwner(Destination);
  TimePoint StartedAt = BootClock::now();
  Duration ReplyWithin = FirstReplyInterval;
  int Redirects = 0;
  while (!Owner.empty()) {
    TimePoint Now = BootClock::now();
    Duration Remaining = Request.Deadline_ - Now;
    if (Remaining <= Duration{0}) {
      sendRelease(Owner, Destination.Name_, Id, PermitOutcome::NotStarted);
      co_return Refusal{RefusalCode::DeadlineUnreachable,
                        "the request waited for the target until its deadline",
                        Execution::No, NoOwnerRetryAfter};
    }
    Message.WaitedUs_ = (Now - Request.Arrived_).count();
    Message.RemainingUs_ = Remaining.count();
    Message.ReplyWithinUs_ = std::min(Remaining, ReplyWithin).count();
    ReplyWithin = ReplyInterval;
    auto CallResult = co_await requestPermit(Owner, Message);
    if (!isOk(CallResult)) {
      // The owner may have granted the permit and the reply may have been lost.
      sendRelease(Owner, Destination.Name_, Id, PermitOutcome::NotStarted);
      break;
    }
    const PermitReplyMessage &Reply = valueOf(CallResult);
    if (Reply.result() == PermitResult::Granted) {
      Granted.Owner_ = Owner;
      Granted.Epoch_ = Reply.Epoch_;
      Granted.Incarnation_ = Reply.Incarnation_;
      if (Destination.DataCentre_ != Settings_.DataCentre_)
        RemoteOwners_[Owner] = Now;
      co_return Granted;
    }
    if (Reply.result() == PermitResult::Refused)
      co_return refusalFrom(Reply);
    if (Reply.result() == PermitResult::Waiting)
      continue;
    // The named owner may itself not be ready to give orders yet.
    if (Reply.Owner_.empty())
      break;
    if (Reply.Owner_ != Owner && ++Redirects <= MaxRedirects) {
      Owner = Reply.Owner_;
      continue;
    }
    bool MayWait = co_await waitForOwner(Request, Destination, StartedAt);
    if (!MayWait)
      break;
    Owner = firstOwner(Destination);
  }
  co_return grantWithoutOwner(Request, Destination, std::move(Granted));
}

bool OwnerPermitBroker::isResident(const RequestContext &Request,
                                   const Target &Destination) const {
  const TargetReport *Report = Directory_->find(Destination.Name_);
  return Report && Report->Reachable_ &&
         Report->Resident_.count(Request.Adapter_.text()) > 0;
}

asio::awaitable<bool>
OwnerPermitBroker::waitForOwner(const RequestContext &Request,
                                const Target &Destination, TimePoint Since) {
  TimePoint Now = BootClock::now();
  bool HasTimedOut = Now - Since >= MaxOwnerWait ||
                     Now + OwnerRetryInterval >= Request.Deadline_;
  if (HasTimedOut || isResident(Request, Destination))
    co_return false;
  co_await pauseFor(OwnerRetryInterval);
  co_return true;
}

Outcome<Permit> OwnerPermitBroker::grantWithoutOwner(
    const RequestContext &Request, const Target &Destination, Permit Granted) {
  bool IsResident = isResident(Request, Destination);
  Metrics_->count("anvil_permits_without_owner_total",
                  {{"result", IsResident ? "granted" : "refused"}});
  if (!IsResident)
    return Refusal{
        RefusalCode::AdapterUnavailable,
        "the target has no available owner and the adapter is not loaded",
        Execution::No, NoOwnerRetryAfter};
  Granted.Incarnation_ = Directory_->find(Destination.Name_)->Incarnation_;
  return Granted;
}

void OwnerPermitBroker::sendRelease(const std::string &Owner,
                                    const std::string &TargetName,
                                    std::uint64_t Id, PermitOutcome End) {
  PermitReleaseMessage Message{TargetName, Settings_.Vm_, Incarnation_, Id,
                               static_cast<std::uint8_t>(End)};
  if (Owner == Settings_.Vm_)
    Owners_->release(Message);
  else
    notifyPeer(*Network_, Owner, Message);
}

void OwnerPermitBroker::release(const Permit &Held, PermitOutcome End) {
  if (Held.Adapter_.empty()) {
    --ServiceSlots_[Held.Target_];
    return;
  }
  Entries_.erase(Held.Id_);
  if (!Held.Owner_.empty())
    sendRelease(Held.Owner_, Held.Target_, Held.Id_, End);
  // A new owner knows the permit from an inventory.
  std::string CurrentOwner = Ownership_->lease().ownerOf(Held.Target_);
  if (!RemoteOwners_.count(Held.Owner_) && !CurrentOwner.empty() &&
      CurrentOwner != Held.Owner_)
    sendRelease(CurrentOwner, Held.Target_, Held.Id_, End);
  const TargetReport *Report = Directory_->find(Held.Target_);
  if (End != PermitOutcome::AdapterMissing || !Report)
    return;
  TargetReport Updated = *Report;
  Updated.Resident_.erase(Held.Adapter_.text());
  Directory_->update(std::move(Updated));
}

asio::awaitable<void> OwnerPermitBroker::handOver() {
  co_await Ownership_->releaseLease(Owners_->idleTargets());
}

} // namespace anvil
