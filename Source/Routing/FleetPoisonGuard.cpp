#include "Routing/FleetPoisonGuard.h"

#include "Http/HttpConnection.h"
#include "Http/Spawn.h"
#include "Membership/Rendezvous.h"
#include "Routing/CrashMessages.h"
#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// How often doubts are compared with the targets' reports.
static constexpr Duration SettlePeriod = std::chrono::milliseconds(50);

/// How long a target that may have crashed is waited for.
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(250);

/// VMs of another data centre that are told and pass it on.
static constexpr std::size_t RelayVms = 2;

static CrashTrackerOptions trackerOptions(const PoisonSettings &Given) {
  CrashTrackerOptions Options;
  Options.SuspectTime_ = std::chrono::seconds(Given.SuspectS_);
  Options.QuarantineTime_ = std::chrono::seconds(Given.QuarantineS_);
  Options.MostDigests_ = static_cast<std::size_t>(Given.MostDigests_);
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
      Doubts_(std::chrono::milliseconds(Settings.Poison_.ConfirmMs_)) {}

std::vector<std::string> FleetPoisonGuard::dependencies() const {
  return {std::string(PeerNetwork::Name), std::string(MembershipService::Name)};
}

Status FleetPoisonGuard::start() {
  listenToPeers<CrashSuspectNotice>(
      *Network_, [this](const std::string &, CrashSuspectNotice Given) {
        take(Given.Digests_, {Given.Target_, Given.Incarnation_});
        if (Given.Relay_)
          tellOwnDataCentre(std::move(Given));
      });
  listenToPeers<QuarantineClearNotice>(
      *Network_, [this](const std::string &, QuarantineClearNotice Given) {
        Crashes_.clear(Given.Digest_);
        if (Given.Relay_)
          tellOwnDataCentre(std::move(Given));
      });
  Tick_ = Timers_.every(SettlePeriod, BootClock::now(),
                        [this](TimePoint Now) { settle(Now); });
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
         Doubts_.holds(Request.Digest_);
}

void FleetPoisonGuard::began(const RequestContext &, const Permit &,
                             TimePoint) {}

void FleetPoisonGuard::ended(const RequestContext &Request, const Permit &Used,
                             TryResult Result, TimePoint Now) {
  if (Result != TryResult::Crashed)
    return;
  Doubts_.add(Request.Digest_, {Used.Target_, Used.Incarnation_},
              Used.Adapter_.empty() ? "" : Used.Adapter_.text(), Now);
  spawn(Executor_, probe(Used));
}

asio::awaitable<void> FleetPoisonGuard::confirm(const Permit &Used) {
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
  settle(BootClock::now());
  Probed_.erase(Used.Target_);
}

LifeSign FleetPoisonGuard::look(const CrashConfirmer::Doubt &Open) const {
  const TargetReport *Report = Directory_->find(Open.Life_.Target_);
  auto Probed = Probed_.find(Open.Life_.Target_);
  bool WasAsked = Probed != Probed_.end();
  if (WasAsked && !Probed->second)
    return LifeSign::Ended;
  if (!Report)
    return LifeSign::Same;
  if (!Report->Reachable_)
    return LifeSign::Ended;
  // Without the incarnation that the request began in, an engine that lost the
  // adapter right after has restarted: it is not evicted under a permit.
  if (Open.Life_.Incarnation_.empty())
    return WasAsked && !Report->Resident_.count(Open.Adapter_) ? LifeSign::Ended
                                                               : LifeSign::Same;
  return Report->Incarnation_ != Open.Life_.Incarnation_ ? LifeSign::Ended
                                                         : LifeSign::Same;
}

void FleetPoisonGuard::settle(TimePoint Now) {
  Crashes_.expire(Now);
  auto Confirmed = Doubts_.settle(
      [this](const CrashConfirmer::Doubt &Open) { return look(Open); }, Now);
  std::map<TargetLife, std::vector<std::string>> ByCrash;
  for (const CrashConfirmer::Doubt &Known : Confirmed) {
    TargetLife Life = Known.Life_;
    const TargetReport *Report = Directory_->find(Life.Target_);
    if (Life.Incarnation_.empty() && Report)
      Life.Incarnation_ = "before " + Report->Incarnation_;
    ByCrash[Life].push_back(Known.Digest_);
  }
  for (const auto &[Life, Digests] : ByCrash) {
    logEvent(LogLevel::Warning, "target_crashed",
             {{"target", Life.Target_},
              {"incarnation", Life.Incarnation_},
              {"requests", Digests.size()}});
    Metrics_->count("anvil_target_crashes_total", {{"target", Life.Target_}});
    take(Digests, Life);
    CrashSuspectNotice Told{Life.Target_, Life.Incarnation_, Digests, false};
    tellAll(std::move(Told), Digests.front());
  }
}

void FleetPoisonGuard::take(const std::vector<std::string> &Digests,
                            const TargetLife &Crashed) {
  TimePoint Now = BootClock::now();
  for (const std::string &Digest : Digests) {
    if (!Crashes_.note(Digest, Crashed, Now))
      continue;
    Metrics_->count("anvil_quarantines_total");
    logEvent(LogLevel::Warning, "request_quarantined", {{"digest", Digest}});
  }
}

template <class Notice> void FleetPoisonGuard::tellOwnDataCentre(Notice Given) {
  Given.Relay_ = false;
  for (const auto &[Vm, Known] : Members_->members())
    if (Known.DataCentre_ == Settings_.DataCentre_)
      notifyPeer(*Network_, Vm, Given);
}

template <class Notice>
void FleetPoisonGuard::tellAll(Notice Given, const std::string &RelayKey) {
  tellOwnDataCentre(Given);
  std::set<std::string> Others;
  for (const auto &[Vm, Known] : Members_->members())
    if (Known.DataCentre_ != Settings_.DataCentre_)
      Others.insert(Known.DataCentre_);
  Given.Relay_ = true;
  for (const std::string &DataCentre : Others) {
    auto Vms = rendezvousOrder(RelayKey, Members_->liveIn(DataCentre));
    // Two, as one of them may be gone without its data centre being so.
    for (std::size_t Index = 0; Index < std::min(Vms.size(), RelayVms); ++Index)
      notifyPeer(*Network_, Vms[Index], Given);
  }
}

std::vector<FleetPoisonGuard::Entry>
FleetPoisonGuard::list(TimePoint Now) const {
  std::vector<Entry> Entries;
  for (const std::string &Digest : Crashes_.quarantined(Now))
    Entries.push_back({Digest, Crashes_.timeLeft(Digest, Now)});
  return Entries;
}

bool FleetPoisonGuard::clear(const std::string &Digest) {
  bool WasKnown = Crashes_.clear(Digest);
  QuarantineClearNotice Told{Digest, false};
  tellAll(std::move(Told), Digest);
  return WasKnown;
}

} // namespace anvil
