#include "Programs/Daemon.h"

#include "Admin/AdminServer.h"
#include "Admin/ConfigEndpoints.h"
#include "Admin/ConfirmationPage.h"
#include "Admin/QuarantineEndpoints.h"
#include "Admin/StatusEndpoints.h"
#include "Admission/FixedSplitQuota.h"
#include "Admission/QuotaService.h"
#include "Config/ConfigSyncService.h"
#include "Gateway/KeyFreshnessGuard.h"
#include "Gateway/RequestPipeline.h"
#include "Http/Spawn.h"
#include "Http/WhenIdle.h"
#include "Ledger/TableLedger.h"
#include "Membership/MembershipService.h"
#include "Membership/Rendezvous.h"
#include "Objects/Digest.h"
#include "Peer/PeerNetwork.h"
#include "Placement/EngineClient.h"
#include "Placement/EngineMonitor.h"
#include "Placement/LocalPermitBroker.h"
#include "Placement/OwnerPermitBroker.h"
#include "Requests/HandoverParticipant.h"
#include "Routing/FleetPoisonGuard.h"
#include "Routing/InformedSelector.h"
#include "Routing/RandomSelector.h"
#include "TableService/HttpPlatformClient.h"
#include "Telemetry/Log.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

Daemon::Daemon(DaemonSettings Settings)
    : Settings_(std::move(Settings)), Incarnation_(randomHex(8)),
      TimerDriver_(Loop_.get_executor(), Timers_,
                   [] { return BootClock::now(); }),
      Runner_(Loop_, Services_), StopTimer_(Loop_) {
  Runner_.onStop([this] { beginStop(); });
  Services_.add(std::make_shared<Metrics>());
  addPlatform();
  addConfiguration();
  addDecisionServices();
  addServers();
  addStatusSections();
}

Daemon::~Daemon() = default;

void Daemon::addPlatform() {
  PlatformClientOptions Options;
  // The settings were validated, so the address parses.
  Options.Server_ =
      std::get<Endpoint>(parseEndpoint(Settings_.Platform_.Address_));
  Options.Timeout_ = std::chrono::milliseconds(Settings_.Platform_.TimeoutMs_);
  Options.CircuitFailures_ =
      static_cast<int>(Settings_.Platform_.CircuitFailures_);
  Options.CircuitOpen_ =
      std::chrono::milliseconds(Settings_.Platform_.CircuitOpenMs_);
  auto MetricsService = Services_.require<Metrics>(Metrics::Name);
  Services_.add(std::make_shared<HttpPlatformClient>(Options, MetricsService));
  Endpoint PeerAddress{Settings_.Listen_.Address_,
                       static_cast<std::uint16_t>(Settings_.Listen_.PeerPort_)};
  Services_.add(std::make_shared<PeerNetwork>(
      Loop_.get_executor(), Settings_.Vm_, PeerAddress, MetricsService));
  Services_.add(std::make_shared<MembershipService>(
      Loop_.get_executor(), Settings_, Incarnation_, Timers_,
      Services_.require<PlatformService>(PlatformService::Name),
      Services_.require<PeerNetwork>(PeerNetwork::Name)));
}

void Daemon::addConfiguration() {
  auto Platform = Services_.require<PlatformService>(PlatformService::Name);
  auto State = std::make_shared<ConfigState>();
  auto Publisher = std::make_shared<ConfigPublisher>(Platform, State);
  Services_.add(State);
  Services_.add(Publisher);
  Services_.add(std::make_shared<ConfigSyncService>(
      Loop_.get_executor(), Settings_, Timers_, Platform, Publisher, State,
      Services_.require<MembershipService>(MembershipService::Name),
      Services_.require<PeerNetwork>(PeerNetwork::Name)));
}

void Daemon::addDecisionServices() {
  auto State = Services_.require<ConfigState>(ConfigState::Name);
  auto Directory = std::make_shared<TargetDirectory>();
  Services_.add(Directory);
  auto Monitor = std::make_shared<EngineMonitor>(
      Loop_.get_executor(), Settings_, Timers_, State, Directory);
  Services_.add(Monitor);
  addQuota();
  if (Settings_.Placement_.Policy_ == PlacementPolicy::Owners)
    addOwnership(*Monitor);
  else
    Services_.add(std::make_shared<LocalPermitBroker>(Loop_.get_executor(),
                                                      Settings_, Directory));
  addRouting();
  Services_.add(std::make_shared<TableLedger>(
      Loop_.get_executor(), Settings_, Timers_, Services_, Incarnation_));
}

void Daemon::addRouting() {
  auto Guard = std::make_shared<FleetPoisonGuard>(
      Loop_.get_executor(), Settings_, Timers_, Services_);
  Guard->setReportProbe(
      [](Endpoint Address,
         Duration Timeout) -> boost::asio::awaitable<Result<TargetReport>> {
        EngineClient Client(std::move(Address));
        auto Reply = co_await Client.status(Timeout);
        if (!isOk(Reply))
          co_return errorOf(Reply);
        TargetReport Report;
        Report.Incarnation_ = valueOf(Reply).Incarnation_;
        Report.Running_ = valueOf(Reply).Running_;
        Report.Waiting_ = valueOf(Reply).Waiting_;
        for (const ResidentAdapter &Adapter : valueOf(Reply).Resident_)
          Report.Resident_.insert(Adapter.Name_);
        co_return Report;
      });
  Services_.add(Guard);
  std::uint64_t Seed = stableHash(Settings_.Vm_ + Incarnation_);
  if (Settings_.Routing_.Policy_ == RoutingPolicy::Random) {
    Services_.add(
        std::make_shared<RandomSelector>(Settings_.DataCentre_, Seed));
  } else {
    auto Selector =
        std::make_shared<InformedSelector>(Settings_, Services_, Seed);
    Selector->setSuspectCheck(
        [Guard](const RequestContext &Request, TimePoint Now) {
          return Guard->isSuspect(Request, Now);
        });
    Services_.add(std::move(Selector));
  }
}

void Daemon::addQuota() {
  auto State = Services_.require<ConfigState>(ConfigState::Name);
  if (Settings_.Quota_.Policy_ == QuotaPolicy::FixedSplit) {
    auto Members =
        Services_.require<MembershipService>(MembershipService::Name);
    Services_.add(std::make_shared<FixedSplitQuota>(
        State, [Members] { return Members->members().size() + 1; }));
    return;
  }
  Services_.add(std::make_shared<QuotaLeaseService>(
      Loop_.get_executor(), Settings_, Timers_,
      Services_.require<PlatformService>(PlatformService::Name),
      Services_.require<PeerNetwork>(PeerNetwork::Name),
      Services_.require<MembershipService>(MembershipService::Name)));
  Services_.add(std::make_shared<QuotaService>(
      Loop_.get_executor(), Settings_, Incarnation_, Timers_, Services_));
}

void Daemon::addOwnership(EngineMonitor &Monitor) {
  auto State = Services_.require<ConfigState>(ConfigState::Name);
  auto Members = Services_.require<MembershipService>(MembershipService::Name);
  auto Network = Services_.require<PeerNetwork>(PeerNetwork::Name);
  Services_.add(std::make_shared<OwnershipService>(
      Loop_.get_executor(), Settings_, Timers_, Incarnation_,
      Services_.require<PlatformService>(PlatformService::Name), Members,
      Network, Services_.require<Metrics>(Metrics::Name)));
  Services_.add(std::make_shared<StoreBudgetService>(Settings_, Timers_, State,
                                                     Members, Network));
  Services_.add(std::make_shared<TargetOwnerService>(
      Loop_.get_executor(), Settings_, Timers_, Services_));
  Services_.add(std::make_shared<OwnerPermitBroker>(
      Loop_.get_executor(), Settings_, Timers_, Incarnation_, Services_));
  // Owners report their targets to this VM. It polls only targets whose last
  // report is older than three report periods.
  Monitor.setMinReportAge(
      3 * std::chrono::milliseconds(Settings_.Placement_.ReportPeriodMs_));
}

void Daemon::addServers() {
  Services_.add(std::make_shared<RequestPipeline>(Loop_.get_executor(),
                                                  Settings_, Services_));
  auto Server =
      std::make_shared<AdminServer>(Loop_.get_executor(), Settings_,
                                    Services_.require<Metrics>(Metrics::Name));
  auto Status = std::make_shared<StatusPage>();
  auto State = Services_.require<ConfigState>(ConfigState::Name);
  addConfigEndpoints(
      *Server, Services_.require<ConfigPublisher>(ConfigPublisher::Name), State,
      Services_.require<PlatformService>(PlatformService::Name));
  addStatusEndpoint(*Server, Status);
  Server->addPage(
      "POST", "/admin/drain",
      [this](const HttpRequest &) -> boost::asio::awaitable<HttpReply> {
        beginStop();
        co_return jsonReply(202, "{}");
      });
  auto ConfigSync =
      Services_.require<ConfigSyncService>(ConfigSyncService::Name);
  addConfirmationPage(
      *Server, Loop_.get_executor(), Settings_, ConfigSync,
      Services_.require<MembershipService>(MembershipService::Name),
      Services_.require<PeerNetwork>(PeerNetwork::Name));
  Services_.add(std::make_shared<KeyFreshnessGuard>(
      Settings_, Timers_, State, ConfigSync,
      Services_.require<RequestPipeline>(RequestPipeline::Name)));
  addQuarantineEndpoints(
      *Server, Services_.require<FleetPoisonGuard>(PoisonGuard::Name));
  Server->onReadyCheck([this, State]() -> std::string {
    if (Stopping_)
      return "stopping";
    return State->isCurrent() ? "" : "the configuration is not known yet";
  });
  Services_.add(Server);
  Services_.add(Status);
}

void Daemon::addStatusSections() {
  auto Page = Services_.require<StatusPage>(StatusPage::Name);
  auto State = Services_.require<ConfigState>(ConfigState::Name);
  auto Platform = Services_.require<PlatformService>(PlatformService::Name);
  auto Directory = Services_.require<TargetDirectory>(TargetDirectory::Name);
  auto Members = Services_.require<MembershipService>(MembershipService::Name);
  auto ConfigSync =
      Services_.require<ConfigSyncService>(ConfigSyncService::Name);
  Page->addSection("vm", [this, State, Platform, ConfigSync] {
    auto EvidenceTime = ConfigSync->confirmedAt();
    json EvidenceAge;
    if (EvidenceTime)
      EvidenceAge = toMillis(BootClock::now() - *EvidenceTime);
    return json{{"evidence_age_ms", EvidenceAge},
                {"name", Settings_.Vm_},
                {"data_centre", Settings_.DataCentre_},
                {"revision", State->current()->Revision_},
                {"current", State->isCurrent()},
                {"stopping", Stopping_},
                {"platform_reachable", Platform->reachable()}};
  });
  Page->addSection("members", [Members] {
    json List = json::array();
    for (const auto &[Name, Member] : Members->members())
      List.push_back({{"name", Name},
                      {"data_centre", Member.DataCentre_},
                      {"alive", Members->isAlive(Name)},
                      {"revision", Member.Revision_},
                      {"leaving", Member.State_ == VmState::Leaving}});
    return List;
  });
  if (auto Quota = Services_.find<QuotaService>(QuotaGate::Name))
    Page->addSection("quotas", [Quota] { return Quota->status(); });
  if (auto Owners =
          Services_.find<TargetOwnerService>(TargetOwnerService::Name))
    Page->addSection("owned_targets", [Owners] {
      json List = json::array();
      for (const OwnedTargetView &Owned : Owners->view())
        List.push_back({{"name", Owned.Target_},
                        {"epoch", Owned.Epoch_},
                        {"settled", Owned.HasAllInventories_},
                        {"permits", Owned.Permits_},
                        {"waiting", Owned.Waiting_}});
      return List;
    });
  Page->addSection("targets", [Directory] {
    json List = json::array();
    for (const auto &[Name, Report] : Directory->all())
      List.push_back({{"name", Name},
                      {"reachable", Report.Reachable_},
                      {"running", Report.Running_},
                      {"waiting", Report.Waiting_},
                      {"resident", Report.Resident_}});
    return List;
  });
}

Status Daemon::run(std::function<Status()> Report) {
  return Runner_.run(stopLimit(), std::move(Report));
}

Duration Daemon::stopLimit() const {
  return std::chrono::milliseconds(Settings_.Shutdown_.NotReadyPeriodMs_ +
                                   Settings_.Shutdown_.DrainMs_);
}

std::map<std::string, std::uint16_t> Daemon::ports() const {
  auto Callers = Services_.require<RequestPipeline>(RequestPipeline::Name);
  auto Admin = Services_.require<AdminServer>(AdminServer::Name);
  auto Peers = Services_.require<PeerNetwork>(PeerNetwork::Name);
  return {{"caller", Callers->port()},
          {"admin", Admin->port()},
          {"peer", Peers->port()}};
}

void Daemon::beginStop() {
  if (std::exchange(Stopping_, true))
    return;
  logEvent(LogLevel::Info, "stopping");
  auto Callers = Services_.require<RequestPipeline>(RequestPipeline::Name);
  Callers->beginDrain();
  Services_.require<MembershipService>(MembershipService::Name)->markLeaving();
  StopDeadline_ = BootClock::now() + stopLimit();
  // The load balancer keeps sending requests until its next read of /readyz.
  StopTimer_.expires_after(
      std::chrono::milliseconds(Settings_.Shutdown_.NotReadyPeriodMs_));
  StopTimer_.async_wait([this](auto) {
    Services_.require<RequestPipeline>(RequestPipeline::Name)->stop();
    spawn(Loop_.get_executor(), handOverServices());
  });
}

boost::asio::awaitable<void> Daemon::handOverServices() {
  for (const auto &Holder : Services_.all<HandoverParticipant>())
    co_await Holder->handOver();
  stopWhenIdle();
}

void Daemon::stopWhenIdle() {
  auto Callers = Services_.require<RequestPipeline>(RequestPipeline::Name);
  callWhenIdle(
      StopTimer_, StopDeadline_,
      [Callers] { return Callers->openConnections() == 0; },
      [this, Callers] {
        logEvent(LogLevel::Info, "stopped",
                 {{"requests_cut", Callers->runningRequests()}});
        Runner_.finish();
      });
}

} // namespace anvil
