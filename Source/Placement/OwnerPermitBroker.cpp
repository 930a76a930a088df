#include "Placement/OwnerPermitBroker.h"

#include "Http/Pause.h"
#include "Membership/Rendezvous.h"
#include "Placement/PlacementLookup.h"

namespace anvil {

namespace asio = boost::asio;

/// After this an owner says that a request still waits, so that one that does
/// not answer is known to be away.
static constexpr Duration AnswerWithin = std::chrono::seconds(1);

/// The same for the first answer: an owner that is cut off is known soon.
static constexpr Duration FirstAnswerWithin = std::chrono::milliseconds(200);

/// What the way to the owner and back may take beyond that.
static constexpr Duration NetworkTime = std::chrono::milliseconds(500);

/// When to come back where no owner can be reached.
static constexpr Duration NoOwnerRetry = std::chrono::seconds(1);

/// How often a request follows the owner's name from VM to VM.
static constexpr int MostRedirects = 3;

/// How long a request waits for a new owner to get ready, and how often it
/// asks meanwhile.
static constexpr Duration LongestOwnerWait = std::chrono::seconds(3);
static constexpr Duration OwnerWaitStep = std::chrono::milliseconds(100);

/// How long an owner of another data centre still gets inventories.
static constexpr Duration FarOwnerTime = std::chrono::seconds(60);

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
      std::chrono::milliseconds(Settings_.Placement_.InventoryMs_);
  Period_ = Timers_.every(Period, BootClock::now(),
                          [this](TimePoint Now) { sendInventories(Now); });
  return std::monostate{};
}

void OwnerPermitBroker::stop() { Period_.cancel(); }

PermitInventoryMessage OwnerPermitBroker::inventory() const {
  PermitInventoryMessage Made;
  Made.Incarnation_ = Incarnation_;
  Made.NextId_ = NextId_;
  for (const auto &[Id, Known] : Entries_)
    Made.Items_.push_back({Known.Target_, Id, Known.Adapter_.Adapter_,
                           Known.Adapter_.Version_, Known.Awaited_});
  return Made;
}

void OwnerPermitBroker::sendInventories(TimePoint Now) {
  std::erase_if(FarOwners_, [&](const auto &Far) {
    return Now - Far.second > FarOwnerTime;
  });
  PermitInventoryMessage Made = inventory();
  Owners_->takeInventory(Settings_.Vm_, Made);
  for (const std::string &Vm : Members_->liveIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_)
      notifyPeer(*Network_, Vm, Made);
  for (const auto &[Vm, Last] : FarOwners_)
    notifyPeer(*Network_, Vm, Made);
}

static Refusal noTarget(std::string Message) {
  return {RefusalCode::NoTarget, std::move(Message), Execution::No,
          NoOwnerRetry};
}

Outcome<Permit> OwnerPermitBroker::acquireService(const Target &Where) {
  std::int64_t &Used = ServiceSlots_[Where.Name_];
  if (Used >= Where.Slots_)
    return Refusal{RefusalCode::QueueFull, "the service's slots are taken",
                   Execution::No, NoOwnerRetry};
  ++Used;
  Permit Made;
  Made.Id_ = NextId_++;
  Made.Target_ = Where.Name_;
  Made.Address_ = endpointOf(Where);
  return Made;
}

static PermitRequestMessage messageOf(const RequestContext &Request,
                                      const std::string &TargetName) {
  PermitRequestMessage Made;
  Made.Target_ = TargetName;
  Made.Customer_ = Request.Customer_;
  const Customer *Payer =
      Request.Snapshot_->Objects_.find<Customer>(Request.Customer_);
  Made.Weight_ = Payer ? Payer->Weight_ : 1;
  Made.Class_ = Request.RequestClass_;
  Made.Priority_ = Request.Priority_;
  Made.AgeingUs_ = Request.Ageing_.count();
  Made.Tokens_ = Request.UpperBoundTokens_;
  Made.Adapter_ = Request.Adapter_.Adapter_;
  Made.Version_ = Request.Adapter_.Version_;
  Made.Weights_ = weightsOf(*Request.Snapshot_, Request.Adapter_);
  return Made;
}

asio::awaitable<Outcome<Permit>>
OwnerPermitBroker::acquire(const RequestContext &Request,
                           std::string TargetName) {
  const Target *Where = Request.Snapshot_->Objects_.find<Target>(TargetName);
  if (!Where)
    co_return noTarget("the target doesn't exist");
  if (Where->Leaving_)
    co_return noTarget("the target is leaving");
  if (Where->TargetKind_ == TargetKind::Service)
    co_return acquireService(*Where);
  std::uint64_t Id = NextId_++;
  Entries_[Id] = {TargetName, Request.Adapter_, true};
  auto Ended = co_await acquireEngine(Request, *Where, Id);
  if (std::holds_alternative<Permit>(Ended))
    Entries_[Id].Awaited_ = false;
  else
    Entries_.erase(Id);
  co_return Ended;
}

std::string OwnerPermitBroker::firstOwner(const Target &Where) const {
  if (Where.DataCentre_ == Settings_.DataCentre_)
    return Ownership_->lease().ownerOf(Where.Name_);
  auto Order =
      rendezvousOrder(Where.Name_, Members_->liveIn(Where.DataCentre_));
  return Order.empty() ? "" : Order.front();
}

asio::awaitable<Result<PermitReplyMessage>>
OwnerPermitBroker::ask(std::string Owner, PermitRequestMessage Given) {
  if (Owner == Settings_.Vm_)
    co_return co_await Owners_->answer(std::move(Given));
  Duration Timeout = Duration(Given.AnswerWithinUs_) + NetworkTime;
  co_return co_await callPeer<PermitReplyMessage>(*Network_, std::move(Owner),
                                                  std::move(Given), Timeout);
}

static Refusal refusalFrom(const PermitReplyMessage &Reply) {
  Refusal Made{RefusalCode::AdapterUnavailable, Reply.Message_, Execution::No,
               Duration(Reply.RetryAfterUs_)};
  for (int Code = 0; Code <= static_cast<int>(RefusalCode::Internal); ++Code) {
    const RefusalTraits &Known = refusalTraits(static_cast<RefusalCode>(Code));
    if (Known.Name_ == Reply.Code_)
      Made.Code_ = Known.Code_;
  }
  return Made;
}

asio::awaitable<Outcome<Permit>>
OwnerPermitBroker::acquireEngine(const RequestContext &Request,
                                 const Target &Where, std::uint64_t Id) {
  PermitRequestMessage Message = messageOf(Request, Where.Name_);
  Message.Vm_ = Settings_.Vm_;
  Message.Incarnation_ = Incarnation_;
  Message.Id_ = Id;
  Permit Made;
  Made.Id_ = Id;
  Made.Target_ = Where.Name_;
  Made.Address_ = endpointOf(Where);
  Made.Adapter_ = Request.Adapter_;
  std::string Owner = firstOwner(Where);
  TimePoint Began = BootClock::now();
  Duration Within = FirstAnswerWithin;
  int Redirects = 0;
  while (!Owner.empty()) {
    TimePoint Now = BootClock::now();
    Duration Left = Request.Deadline_ - Now;
    if (Left <= Duration{0}) {
      giveBack(Owner, Where.Name_, Id, PermitEnd::NotStarted);
      co_return Refusal{RefusalCode::DeadlineUnreachable,
                        "the request waited for the target until its deadline",
                        Execution::No, NoOwnerRetry};
    }
    Message.WaitedUs_ = (Now - Request.Arrived_).count();
    Message.LeftUs_ = Left.count();
    Message.AnswerWithinUs_ = std::min(Left, Within).count();
    Within = AnswerWithin;
    auto Answer = co_await ask(Owner, Message);
    if (!isOk(Answer)) {
      // The grant may have been lost on its way.
      giveBack(Owner, Where.Name_, Id, PermitEnd::NotStarted);
      break;
    }
    const PermitReplyMessage &Reply = valueOf(Answer);
    if (Reply.answer() == PermitAnswer::Granted) {
      Made.Owner_ = Owner;
      Made.Epoch_ = Reply.Epoch_;
      Made.Incarnation_ = Reply.Incarnation_;
      if (Where.DataCentre_ != Settings_.DataCentre_)
        FarOwners_[Owner] = Now;
      co_return Made;
    }
    if (Reply.answer() == PermitAnswer::Refused)
      co_return refusalFrom(Reply);
    if (Reply.answer() == PermitAnswer::Waiting)
      continue;
    // The VM named as the owner may itself not be ready to order yet.
    if (Reply.Owner_.empty())
      break;
    if (Reply.Owner_ != Owner && ++Redirects <= MostRedirects) {
      Owner = Reply.Owner_;
      continue;
    }
    bool MayWait = co_await waitForOwner(Request, Where, Began);
    if (!MayWait)
      break;
    Owner = firstOwner(Where);
  }
  co_return withoutOwner(Request, Where, std::move(Made));
}

bool OwnerPermitBroker::isResident(const RequestContext &Request,
                                   const Target &Where) const {
  const TargetReport *Known = Directory_->find(Where.Name_);
  return Known && Known->Reachable_ &&
         Known->Resident_.count(Request.Adapter_.text()) > 0;
}

asio::awaitable<bool>
OwnerPermitBroker::waitForOwner(const RequestContext &Request,
                                const Target &Where, TimePoint Since) {
  TimePoint Now = BootClock::now();
  bool IsOver = Now - Since >= LongestOwnerWait ||
                Now + OwnerWaitStep >= Request.Deadline_;
  if (IsOver || isResident(Request, Where))
    co_return false;
  co_await pauseFor(OwnerWaitStep);
  co_return true;
}

Outcome<Permit> OwnerPermitBroker::withoutOwner(const RequestContext &Request,
                                                const Target &Where,
                                                Permit Made) {
  bool IsResident = isResident(Request, Where);
  Metrics_->count("anvil_permits_without_owner_total",
                  {{"result", IsResident ? "granted" : "refused"}});
  if (!IsResident)
    return Refusal{RefusalCode::AdapterUnavailable,
                   "the target has no owner now and the adapter is not loaded",
                   Execution::No, NoOwnerRetry};
  Made.Incarnation_ = Directory_->find(Where.Name_)->Incarnation_;
  return Made;
}

void OwnerPermitBroker::giveBack(const std::string &Owner,
                                 const std::string &TargetName,
                                 std::uint64_t Id, PermitEnd End) {
  PermitReleaseMessage Made{TargetName, Settings_.Vm_, Incarnation_, Id,
                            static_cast<std::uint8_t>(End)};
  if (Owner == Settings_.Vm_)
    Owners_->release(Made);
  else
    notifyPeer(*Network_, Owner, Made);
}

void OwnerPermitBroker::release(const Permit &Held, PermitEnd End) {
  if (Held.Adapter_.empty()) {
    --ServiceSlots_[Held.Target_];
    return;
  }
  Entries_.erase(Held.Id_);
  if (!Held.Owner_.empty())
    giveBack(Held.Owner_, Held.Target_, Held.Id_, End);
  // An owner that came since knows the permit from an inventory.
  std::string Newest = Ownership_->lease().ownerOf(Held.Target_);
  if (!FarOwners_.count(Held.Owner_) && !Newest.empty() &&
      Newest != Held.Owner_)
    giveBack(Newest, Held.Target_, Held.Id_, End);
  const TargetReport *Known = Directory_->find(Held.Target_);
  if (End != PermitEnd::AdapterMissing || !Known)
    return;
  TargetReport Changed = *Known;
  Changed.Resident_.erase(Held.Adapter_.text());
  Directory_->update(std::move(Changed));
}

asio::awaitable<void> OwnerPermitBroker::handOver() {
  co_await Ownership_->giveUp(Owners_->idleTargets());
}

} // namespace anvil
