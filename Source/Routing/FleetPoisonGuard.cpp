#include "Routing/FleetPoisonGuard.h"

#include "Http/HttpConnection.h"
#include "Http/Spawn.h"
#include "Membership/Rendezvous.h"
#include "Routing/CrashMessages.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// How often suspected crashes are compared with the targets' reports.
static constexpr Duration ResolvePeriod = std::chrono::milliseconds(50);

/// The time that a target which may have crashed has to reply to a probe.
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(250);

/// VMs of each remote data centre that receive a notice and forward it. Two, as
/// one may be unreachable while its data centre is not.
static constexpr std::size_t RelayCount = 2;

static CrashTrackerOptions trackerOptions(const PoisonSettings &Settings) {
  CrashTrackerOptions Options;
  Options.SuspectTime_ = std::chrono::seconds(Settings.SuspectS_);
  Options.QuarantineTime_ = std::chrono::seconds(Settings.QuarantineS_);
  Options.MaxDigests_ = static_cast<std::size_t>(Settings.MaxDigests_);
  return Options;
}

FleetPoisonGuard::FleetPoisonGuard(asio::any_io_executor Executor,
                                   const DaemonSettings &Settings,
                                   TimerService &Timers,
                                   const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Directory_(Services.require<TargetDirectory>(TargetDirectory::Name)),
      Network_(Services.require<PeerNetwork>(PeerNetwork::Name)),
      Members_(Services.require<MembershipService>(MembershipService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      Crashes_(trackerOptions(Settings.Poison_)),
      Pending_(
          std::chrono::milliseconds(Settings.Poison_.CrashConfirmationMs_)) {}

std::vector<std::string> FleetPoisonGuard::dependencies() const {
  return {std::string(PeerNetwork::Name), std::string(MembershipService::Name)};
}

Status FleetPoisonGuard::start() {
  handlePeerNotices<CrashSuspectNotice>(
      *Network_, [this](const std::string &, CrashSuspectNotice Message) {
        recordCrash(Message.Digests_, {Message.Target_, Message.Incarnation_});
        if (Message.Relay_)
          notifyOwnDataCentre(std::move(Message));
      });
  handlePeerNotices<QuarantineClearNotice>(
      *Network_, [this](const std::string &, QuarantineClearNotice Message) {
        Crashes_.clear(Message.Digest_);
        if (Message.Relay_)
          notifyOwnDataCentre(std::move(Message));
      });
  Tick_ = Timers_.every(ResolvePeriod, BootClock::now(),
                        [this](TimePoint Now) { resolvePending(Now); });
  return std::monostate{};
}

void FleetPoisonGuard::stop() { Tick_.cancel(); }

std::optional<Refusal> FleetPoisonGuard::check(const RequestContext &Request,
                                               TimePoint Now) {
  if (!Crashes_.isQuarantined(Request.Digest_, Now))
    return std::nullopt;
  Metrics_->count("anvil_quarantined_requests_total");
  return Refusal{RefusalCode::Quarantined,
                 "targets crashed while they ran this request", Execution::No,
                 std::nullopt};
}

bool FleetPoisonGuard::isSuspect(const RequestContext &Request, TimePoint Now) {
  return Crashes_.isSuspect(Request.Digest_, Now) ||
         Pending_.isPending(Request.Digest_);
}

void FleetPoisonGuard::recordStart(const RequestContext &, const Permit &,
                                   TimePoint) {}

void FleetPoisonGuard::recordEnd(const RequestContext &Request,
                                 const Permit &Used, AttemptResult Result,
                                 TimePoint Now) {
  if (Result != AttemptResult::Crashed)
    return;
  Pending_.add(Request.Digest_, {Used.Target_, Used.Incarnation_},
               Used.Adapter_.empty() ? "" : Used.Adapter_.text(), Now);
  spawn(Executor_, probe(Used));
}

asio::awaitable<void>
FleetPoisonGuard::awaitCrashConfirmation(const Permit &Used) {
  co_await probe(Used);
}

asio::awaitable<void> FleetPoisonGuard::probe(Permit Used) {
  std::optional<TargetReport> Found;
  bool IsEngine = ProbeReport_ && !Used.Adapter_.empty();
  if (IsEngine) {
    auto Report = co_await ProbeReport_(Used.Address_, ProbeTimeout);
    if (isOk(Report))
      Found = std::move(valueOf(Report));
  } else {
    HttpConnection Connection;
    Status Opened = co_await Connection.open(Used.Address_, ProbeTimeout);
    if (isOk(Opened))
      Found.emplace();
  }
  if (Found && IsEngine) {
    Found->Target_ = Used.Target_;
    Found->ReportedAt_ = BootClock::now();
    Directory_->update(*Found);
  }
  Probed_[Used.Target_] = std::move(Found);
  resolvePending(BootClock::now());
  Probed_.erase(Used.Target_);
}

IncarnationState
FleetPoisonGuard::stateOf(const CrashConfirmer::SuspectedCrash &Crash) const {
  const TargetReport *Report = Directory_->find(Crash.Instance_.Target_);
  auto Probed = Probed_.find(Crash.Instance_.Target_);
  bool WasProbed = Probed != Probed_.end();
  if (WasProbed && !Probed->second)
    return IncarnationState::Ended;
  if (!Report)
    return IncarnationState::Unchanged;
  if (!Report->Reachable_)
    return IncarnationState::Ended;
  // If the request's incarnation is unknown, an engine that no longer holds the
  // adapter right after the request has restarted: the adapter can't be evicted
  // while a permit is held for it.
  if (Crash.Instance_.Incarnation_.empty())
    return WasProbed && !Report->Resident_.count(Crash.Adapter_)
               ? IncarnationState::Ended
               : IncarnationState::Unchanged;
  return Report->Incarnation_ != Crash.Instance_.Incarnation_
             ? IncarnationState::Ended
             : IncarnationState::Unchanged;
}

void FleetPoisonGuard::resolvePending(TimePoint Now) {
  Crashes_.expire(Now);
  auto Confirmed = Pending_.resolve(
      [this](const CrashConfirmer::SuspectedCrash &Crash) {
        return stateOf(Crash);
      },
      Now);
  std::map<TargetInstance, std::vector<std::string>> ByCrash;
  for (const CrashConfirmer::SuspectedCrash &Crash : Confirmed) {
    TargetInstance Instance = Crash.Instance_;
    const TargetReport *Report = Directory_->find(Instance.Target_);
    if (Instance.Incarnation_.empty() && Report)
      Instance.Incarnation_ = "before " + Report->Incarnation_;
    ByCrash[Instance].push_back(Crash.Digest_);
  }
  for (const auto &[Instance, Digests] : ByCrash) {
    logEvent(LogLevel::Warning, "target_crashed",
             {{"target", Instance.Target_},
              {"incarnation", Instance.Incarnation_},
              {"requests", Digests.size()}});
    Metrics_->count("anvil_target_crashes_total",
                    {{"target", Instance.Target_}});
    recordCrash(Digests, Instance);
    CrashSuspectNotice Message{Instance.Target_, Instance.Incarnation_, Digests,
                               false};
    notifyFleet(std::move(Message), Digests.front());
  }
}

void FleetPoisonGuard::recordCrash(const std::vector<std::string> &Digests,
                                   const TargetInstance &Crashed) {
  TimePoint Now = BootClock::now();
  for (const std::string &Digest : Digests) {
    if (!Crashes_.addCrash(Digest, Crashed, Now))
      continue;
    Metrics_->count("anvil_quarantines_total");
    logEvent(LogLevel::Warning, "request_quarantined", {{"digest", Digest}});
  }
}

template <class Notice>
void FleetPoisonGuard::notifyOwnDataCentre(Notice Message) {
  Message.Relay_ = false;
  for (const auto &[Vm, Peer] : Members_->members())
    if (Peer.DataCentre_ == Settings_.DataCentre_)
      notifyPeer(*Network_, Vm, Message);
}

template <class Notice>
void FleetPoisonGuard::notifyFleet(Notice Message,
                                   const std::string &RelayKey) {
  notifyOwnDataCentre(Message);
  std::set<std::string> RemoteDataCentres;
  for (const auto &[Vm, Peer] : Members_->members())
    if (Peer.DataCentre_ != Settings_.DataCentre_)
      RemoteDataCentres.insert(Peer.DataCentre_);
  Message.Relay_ = true;
  for (const std::string &DataCentre : RemoteDataCentres) {
    auto Vms = rendezvousOrder(RelayKey, Members_->liveVmsIn(DataCentre));
    for (std::size_t Index = 0; Index < std::min(Vms.size(), RelayCount);
         ++Index)
      notifyPeer(*Network_, Vms[Index], Message);
  }
}

std::vector<FleetPoisonGuard::QuarantinedRequest>
FleetPoisonGuard::list(TimePoint Now) const {
  std::vector<QuarantinedRequest> Entries;
  for (const std::string &Digest : Crashes_.quarantined(Now))
    Entries.push_back({Digest, Crashes_.timeLeft(Digest, Now)});
  return Entries;
}

bool FleetPoisonGuard::clear(const std::string &Digest) {
  bool WasKnown = Crashes_.clear(Digest);
  QuarantineClearNotice Message{Digest, false};
  notifyFleet(std::move(Message), Digest);
  return WasKnown;
}

} // namespace anvil
