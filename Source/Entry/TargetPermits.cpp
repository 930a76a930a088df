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

/// The range from which a process draws the first serial number of its
/// requests.
static constexpr double SerialRange = 1e15;

TargetPermits::TargetPermits(const EntrySettings &Settings,
                             const ServiceRegistry &Services)
    : Self_(Settings.holderName()),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      ColdTargets_(Services.require<ColdTargets>(ColdTargets::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      LastSerial_(static_cast<std::uint64_t>(randomFraction() * SerialRange)) {}

Status TargetPermits::start() {
  Link_->Received_.attach(
      [this](const FleetMessage &Message) { receive(Message); });
  PermitIssuer_.recordActivity(updatePeriod(0), BootClock::now());
  Link_->UpdateDue_.attach([this](Duration Period) {
    PermitIssuer_.recordActivity(Period, BootClock::now());
  });
  return std::monostate{};
}

std::optional<PermitQuery> TargetPermits::queryFor(const std::string &Target,
                                                   std::int64_t Incarnation,
                                                   TimePoint Now) const {
  return permitQuery(Target, Incarnation,
                     Fleet_->limits().rateOf(Target, Incarnation),
                     ColdTargets_->rateOf(Target, Incarnation, Now));
}

bool TargetPermits::needsPermit(const std::string &Target,
                                std::int64_t Incarnation, TimePoint Now) const {
  return queryFor(Target, Incarnation, Now).has_value();
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

PermitDecision TargetPermits::decide(const PermitQuery &Request,
                                     TimePoint Now) {
  // The requesting VM may not know of a lower limit or a cold start yet.
  PermitQuery Query = stricterQuery(
      Request, queryFor(Request.Target_, Request.Incarnation_, Now));
  return PermitIssuer_.decide(Query, Fleet_->reachableShare(Now), Now);
}

asio::awaitable<std::optional<PermitDecision>>
TargetPermits::requestPermit(const std::string &Manager,
                             const PermitQuery &Request,
                             asio::steady_timer &Pause) {
  auto Waiting = std::make_shared<Pending>(Pause, std::nullopt);
  std::uint64_t Serial = ++LastSerial_;
  Pending_[Serial] = Waiting;
  Link_->send(Manager, TargetPermitRequest{Self_, Serial, Request});
  co_await pauseFor(Pause, ReplyTimeout);
  Pending_.erase(Serial);
  co_return Waiting->Decision_;
}

asio::awaitable<bool> TargetPermits::acquire(const std::string &Target,
                                             std::int64_t Incarnation,
                                             asio::steady_timer &Pause) {
  TimePoint RequestedAt = BootClock::now();
  std::optional<PermitQuery> Needed =
      queryFor(Target, Incarnation, RequestedAt);
  if (!Needed)
    co_return true;
  const PermitQuery &Request = *Needed;
  std::string Manager = managerOf(Target, RequestedAt);
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
            {"rate_per_s", Request.RatePerSecond_},
            {"cold", Request.IsCold_},
            {"keeper", Manager},
            {"outcome", Outcome},
            {"next_in_ms", toMillis(NextIn)},
            {"took_ms", toMillis(Now - RequestedAt)}});
  co_return IsGranted;
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
                                  decide(Request->Request_, BootClock::now())});
  } else if (const auto *Reply = std::get_if<TargetPermitReply>(&Message)) {
    auto Found = Pending_.find(Reply->Serial_);
    if (Found == Pending_.end())
      return;
    Found->second->Decision_ = Reply->Decision_;
    Found->second->Pause_.cancel();
  }
}

} // namespace anvil
