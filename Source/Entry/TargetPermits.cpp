#include "Entry/TargetPermits.h"

#include "Entry/RandomFraction.h"
#include "Http/Pause.h"
#include "Membership/Rendezvous.h"
#include "Serving/UpdateSchedule.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// How long to wait for a reply; a VM that isn't overloaded replies within
/// some milliseconds.
static constexpr Duration ReplyTimeout = std::chrono::milliseconds(30);

/// For how long after its request a permit is valid.
static constexpr Duration PermitLifetime = std::chrono::milliseconds(200);

/// For how long a target is suspended after a permit request failed: the
/// minimum, and the time if there was no reply.
static constexpr Duration MinSuspension = std::chrono::milliseconds(20);
static constexpr Duration UnansweredSuspension = std::chrono::milliseconds(100);

/// Added to the time for which a request may take its place: the way of its
/// messages.
static constexpr Duration PlaceMargin = std::chrono::seconds(1);

/// For how long a VM of another data centre that didn't answer isn't asked.
static constexpr Duration UnansweredTime = std::chrono::seconds(2);

/// How long after its start a target counts as one that is back.
static constexpr Duration ReturnTime = std::chrono::seconds(5);

/// By which share of the most fewer requests may wait for places for each rank
/// below the most urgent.
static constexpr double WaitingSharePerRank = 0.05;

/// The range from which a process draws the first serial number of its
/// requests.
static constexpr double SerialRange = 1e15;

TargetPermits::TargetPermits(const EntrySettings &Settings,
                             const ServiceRegistry &Services)
    : Self_(Settings.holderName()), DataCentre_(Settings.DataCentre_),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      ColdTargets_(Services.require<ColdTargets>(ColdTargets::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      LastSerial_(static_cast<std::uint64_t>(randomFraction() * SerialRange)) {}

Status TargetPermits::start() {
  Link_->Received_.attach(
      [this](const FleetMessage &Message) { receive(Message); });
  auto RecordActivity = [this](Duration Period) {
    PermitIssuer_.recordActivity(Period, BootClock::now());
    PlaceIssuer_.recordActivity(Period, BootClock::now());
  };
  RecordActivity(updatePeriod(0));
  Link_->UpdateDue_.attach(RecordActivity);
  Targets_->Changed_.attach(
      [this](const RosterChange &Change) { recordReturn(Change); });
  return std::monostate{};
}

std::optional<PermitQuery> TargetPermits::queryFor(const std::string &Target,
                                                   std::int64_t Incarnation,
                                                   TimePoint Now) const {
  return permitQuery(Target, Incarnation,
                     Fleet_->limits().targets().rateOf(Target, Incarnation),
                     ColdTargets_->rateOf(Target, Incarnation, Now));
}

bool TargetPermits::needsPermit(const std::string &Target,
                                std::int64_t Incarnation, TimePoint Now) const {
  return queryFor(Target, Incarnation, Now) || survivedRejections(Target);
}

bool TargetPermits::maySend(const std::string &Target, std::int64_t Incarnation,
                            std::optional<TimePoint> RequestedAt,
                            TimePoint Now) const {
  bool IsPermitted = RequestedAt && Now - *RequestedAt <= PermitLifetime;
  return IsPermitted || !needsPermit(Target, Incarnation, Now);
}

Duration TargetPermits::suspendedFor(const std::string &Target,
                                     std::int64_t Incarnation,
                                     TimePoint Now) const {
  auto Found = Suspensions_.find(Target);
  if (Found == Suspensions_.end() || Found->second.Incarnation_ != Incarnation)
    return Duration::zero();
  if (!needsPermit(Target, Incarnation, Now))
    return Duration::zero();
  return std::max<Duration>(Duration::zero(),
                            Found->second.NoPermitUntil_ - Now);
}

std::string TargetPermits::managerOf(const std::string &Target,
                                     TimePoint Now) const {
  std::vector<std::string> Serving = Fleet_->servingPeers(Now);
  // A VM that is about to stop hands out no permits while it has peers.
  if (!Fleet_->isStopping() || Serving.empty())
    Serving.push_back(Self_);
  return rendezvousOrder(Target, std::move(Serving)).front();
}

std::string TargetPermits::placeIssuerOf(const std::string &Target,
                                         TimePoint Now) const {
  const ListedTarget *Listed = Targets_->roster().find(Target);
  bool IsLocal = !Fleet_->isSplit() || !Listed ||
                 Listed->Entry_.DataCentre_ == DataCentre_;
  if (IsLocal)
    return managerOf(Target, Now);
  // Nothing tells which VMs of other data centres are alive.
  std::map<std::string, std::vector<std::string>> Vms;
  Link_->forEachPeer(
      [&](const std::string &Vm, const FleetLink::PeerLocation &Location) {
        auto Found = Unanswered_.find(Vm);
        if (Found == Unanswered_.end() || Found->second <= Now)
          Vms[Location.DataCentre_].push_back(Vm);
      });
  Vms[DataCentre_].push_back(Self_);
  std::string Home = Listed->Entry_.DataCentre_;
  if (!Vms.contains(Home)) {
    std::vector<std::string> DataCentres;
    for (const auto &[Name, Members] : Vms)
      DataCentres.push_back(Name);
    Home = rendezvousOrder(Target, std::move(DataCentres)).front();
  }
  return Home == DataCentre_ ? managerOf(Target, Now)
                             : rendezvousOrder(Target, Vms[Home]).front();
}

std::optional<double>
TargetPermits::survivedRejections(const std::string &Target) const {
  const ListedTarget *Listed = Targets_->roster().find(Target);
  return Listed ? Fleet_->limits().survivedRejections(Listed->Entry_.Service_)
                : std::nullopt;
}

PlacesInUse TargetPermits::placesInUse(const std::string &Target) const {
  PlacesInUse InUse;
  if (auto Held = HeldPlaces_.find(Target); Held != HeldPlaces_.end())
    InUse.Held_.assign(Held->second.begin(), Held->second.end());
  for (const auto &[Serial, Waiting] : Pending_)
    if (Waiting->Target_ == Target)
      InUse.Awaited_.push_back(Serial);
  return InUse;
}

PlaceNeed TargetPermits::placeNeed(const std::string &Target,
                                   Duration Lasts) const {
  const ListedTarget *Listed = Targets_->roster().find(Target);
  auto Rejections = survivedRejections(Target);
  if (!Listed || !Rejections)
    return {};
  return {std::max(1, Listed->Entry_.Slots_), *Rejections, Lasts + PlaceMargin,
          placesInUse(Target)};
}

PermitDecision TargetPermits::decidePlace(const TargetPermitRequest &Request,
                                          TimePoint Now) {
  const std::string &Target = Request.Request_.Target_;
  // The VM that asks may not know yet which one issues.
  if (placeIssuerOf(Target, Now) != Self_)
    return {false, MinSuspension};
  const ListedTarget *Listed = Targets_->roster().find(Target);
  bool IsBack = Listed && Listed->RestartedAt_ &&
                *Listed->RestartedAt_ + ReturnTime > Now;
  PlaceQuery Query{Request.Vm_,    Request.Serial_,
                   Target,         Request.Request_.Incarnation_,
                   Request.Place_, Fleet_->runningOn(Target),
                   IsBack};
  return PlaceIssuer_.decide(Query, Fleet_->reachablePeerShare(Now), Now);
}

PermitDecision TargetPermits::decide(const TargetPermitRequest &Request,
                                     TimePoint Now) {
  const std::string &Target = Request.Request_.Target_;
  std::int64_t Incarnation = Request.Request_.Incarnation_;
  bool NeedsPlace = Request.Place_.Slots_ > 0;
  PermitDecision Decision{true, {}};
  if (NeedsPlace)
    Decision = decidePlace(Request, Now);
  // The requesting VM may not know of a lower limit or a cold start yet.
  PermitQuery Query =
      stricterQuery(Request.Request_, queryFor(Target, Incarnation, Now));
  bool IsUnlimited =
      !Query.IsCold_ && Query.RatePerSecond_ >= PermitIssuer::Unlimited;
  if (!Decision.Granted_ || IsUnlimited)
    return Decision;
  Decision = PermitIssuer_.decide(Query, Fleet_->reachableShare(Now), Now);
  if (NeedsPlace && !Decision.Granted_)
    PlaceIssuer_.release(
        {Request.Vm_, Request.Serial_, Target, Incarnation, false, {}}, Now);
  return Decision;
}

asio::awaitable<std::optional<PermitDecision>>
TargetPermits::requestPermit(std::string Manager, TargetPermitRequest Request,
                             asio::steady_timer &Pause) {
  auto Waiting =
      std::make_shared<Pending>(Pause, Request.Request_.Target_, std::nullopt);
  Pending_[Request.Serial_] = Waiting;
  Link_->send(Manager, Request);
  co_await pauseFor(Pause, ReplyTimeout);
  Pending_.erase(Request.Serial_);
  co_return Waiting->Decision_;
}

asio::awaitable<std::optional<PlaceLease>>
TargetPermits::acquire(std::string Target, std::int64_t Incarnation,
                       Duration Lasts, asio::steady_timer &Pause) {
  TimePoint RequestedAt = BootClock::now();
  std::optional<PermitQuery> Needed =
      queryFor(Target, Incarnation, RequestedAt);
  TargetPermitRequest Request;
  Request.Place_ = placeNeed(Target, Lasts);
  bool NeedsPlace = Request.Place_.Slots_ > 0;
  if (!Needed && !NeedsPlace)
    co_return PlaceLease();
  Request.Vm_ = Self_;
  Request.Serial_ = ++LastSerial_;
  Request.Request_ = Needed.value_or(
      PermitQuery{Target, Incarnation, PermitIssuer::Unlimited, false});
  std::string Manager = NeedsPlace ? placeIssuerOf(Target, RequestedAt)
                                   : managerOf(Target, RequestedAt);
  std::optional<PermitDecision> Decision;
  if (Manager == Self_)
    Decision = decide(Request, RequestedAt);
  else
    Decision = co_await requestPermit(Manager, Request, Pause);
  TimePoint Now = BootClock::now();
  std::string_view Outcome = "granted";
  Duration NextIn{};
  if (!Decision) {
    Outcome = "unanswered";
    NextIn = UnansweredSuspension;
    Unanswered_[Manager] = Now + UnansweredTime;
  } else if (!Decision->Granted_) {
    Outcome = "denied";
    NextIn =
        std::clamp(Decision->RetryIn_, MinSuspension, PermitIssuer::MaxWait);
  } else if (Now - RequestedAt > PermitLifetime) {
    Outcome = "expired";
    NextIn = MinSuspension;
  }
  bool IsGranted = Outcome == "granted";
  if (!IsGranted)
    suspensionOf(Target, Incarnation, Now).NoPermitUntil_ = Now + NextIn;
  Metrics_->count("anvil_target_permits_total",
                  {{"outcome", std::string(Outcome)}});
  logEvent(LogLevel::Debug, "target_permit",
           {{"target", Target},
            {"incarnation", Incarnation},
            {"rate_per_s", Request.Request_.RatePerSecond_},
            {"cold", Request.Request_.IsCold_},
            {"slots", Request.Place_.Slots_},
            {"places_held", Request.Place_.InUse_.Held_.size()},
            {"keeper", Manager},
            {"outcome", Outcome},
            {"next_in_ms", toMillis(NextIn)},
            {"took_ms", toMillis(Now - RequestedAt)}});
  std::optional<PlaceLease> Lease;
  if (IsGranted)
    Lease.emplace();
  if (IsGranted && NeedsPlace)
    Lease = holdPlace(Target, Incarnation, Request.Serial_);
  else if (NeedsPlace && Outcome != "denied")
    // It may have been granted, or may still be.
    releasePlace(Target, Incarnation, Request.Serial_, false);
  co_return Lease;
}

PlaceLease TargetPermits::holdPlace(const std::string &Target,
                                    std::int64_t Incarnation,
                                    std::uint64_t Serial) {
  HeldPlaces_[Target].insert(Serial);
  return PlaceLease([Known = weak_from_this(), Target, Incarnation,
                     Serial](bool WasRejected) {
    if (auto Permits = Known.lock())
      Permits->releasePlace(Target, Incarnation, Serial, WasRejected);
  });
}

void TargetPermits::releasePlace(const std::string &Target,
                                 std::int64_t Incarnation, std::uint64_t Serial,
                                 bool WasRejected) {
  auto Held = HeldPlaces_.find(Target);
  if (Held != HeldPlaces_.end()) {
    Held->second.erase(Serial);
    if (Held->second.empty())
      HeldPlaces_.erase(Held);
  }
  if (WasRejected)
    Metrics_->count("anvil_brittle_rejections_total", {{"target", Target}});
  PlaceRelease Release{Self_,       Serial,      Target,
                       Incarnation, WasRejected, placesInUse(Target)};
  std::string Manager = placeIssuerOf(Target, BootClock::now());
  if (Manager == Self_)
    applyRelease(Release);
  else
    Link_->send(Manager, Release);
}

void TargetPermits::applyRelease(const PlaceRelease &Release) {
  auto Waiting = PlaceIssuer_.release(Release, BootClock::now());
  if (Waiting == Self_)
    applyFreed(Release.Target_, Release.Incarnation_);
  else if (Waiting)
    Link_->send(*Waiting,
                TargetPlaceFreed{Release.Target_, Release.Incarnation_});
}

void TargetPermits::applyFreed(const std::string &Target,
                               std::int64_t Incarnation) {
  auto Found = Suspensions_.find(Target);
  if (Found == Suspensions_.end() || Found->second.Incarnation_ != Incarnation)
    return;
  Found->second.NoPermitUntil_ = {};
  PlaceFreed_.notify();
}

std::shared_ptr<void> TargetPermits::joinQueue(const std::string &Service,
                                               int Rank) {
  double Slots = 0;
  for (const ListedTarget *Target : Targets_->roster().usable(Service))
    Slots += std::max(1, Target->Entry_.Slots_);
  double Most = std::max(1.0, Slots / static_cast<double>(Fleet_->knownVms()));
  Most *= 1 - WaitingSharePerRank * Rank;
  std::shared_ptr<int> &Count = Waiting_[Service];
  if (!Count)
    Count = std::make_shared<int>(0);
  if (*Count >= std::max(1.0, Most))
    return nullptr;
  ++*Count;
  return {Count.get(), [Shared = Count](int *) { --*Shared; }};
}

void TargetPermits::recordReturn(const RosterChange &Change) {
  auto Rejections = survivedRejections(Change.Id_);
  const ListedTarget *Listed = Targets_->roster().find(Change.Id_);
  bool IsReturn = Change.NewIncarnation_ && Listed && Listed->RestartedAt_;
  if (!IsReturn || !Rejections)
    return;
  Metrics_->count("anvil_brittle_falls_total",
                  {{"service", Listed->Entry_.Service_}});
  logEvent(LogLevel::Warning, "brittle_target_restarted",
           {{"target", Change.Id_},
            {"incarnation", Listed->Entry_.Incarnation_},
            {"service", Listed->Entry_.Service_},
            {"survived_rejections_per_s", *Rejections}});
}

TargetPermits::Suspension &
TargetPermits::suspensionOf(const std::string &Target, std::int64_t Incarnation,
                            TimePoint Now) {
  std::erase_if(Suspensions_, [&](const auto &Entry) {
    return Entry.second.NoPermitUntil_ <= Now;
  });
  Suspension &Current = Suspensions_[Target];
  if (Current.Incarnation_ != Incarnation)
    Current = {Incarnation, {}};
  return Current;
}

void TargetPermits::receive(const FleetMessage &Message) {
  if (const auto *Request = std::get_if<TargetPermitRequest>(&Message)) {
    Link_->send(Request->Vm_,
                TargetPermitReply{Request->Serial_,
                                  decide(*Request, BootClock::now())});
  } else if (const auto *Release = std::get_if<PlaceRelease>(&Message)) {
    applyRelease(*Release);
  } else if (const auto *Freed = std::get_if<TargetPlaceFreed>(&Message)) {
    applyFreed(Freed->Target_, Freed->Incarnation_);
  } else if (const auto *Reply = std::get_if<TargetPermitReply>(&Message)) {
    auto Found = Pending_.find(Reply->Serial_);
    if (Found == Pending_.end())
      return;
    Found->second->Decision_ = Reply->Decision_;
    Found->second->Pause_.cancel();
  }
}

} // namespace anvil
