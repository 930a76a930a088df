#ifndef ANVIL_SETTINGS_DAEMONSETTINGS_H
#define ANVIL_SETTINGS_DAEMONSETTINGS_H

#include "Http/Endpoint.h"
#include "Kernel/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace anvil {

/// Where this VM listens. Port zero lets the system choose one.
struct ListenSettings {
  std::string Address_ = "127.0.0.1";
  std::int64_t CallerPort_ = 8080;
  std::int64_t AdminPort_ = 8081;
  std::int64_t PeerPort_ = 8082;
};

/// How the platform is reached.
struct PlatformSettings {
  std::string Address_;
  std::int64_t TimeoutMs_ = 1000;
  /// Failures in a row after which calls fail at once for a while.
  std::int64_t CircuitFailures_ = 5;
  std::int64_t CircuitOpenMs_ = 2000;
};

/// A peer whose address differs from what the platform's list says.
struct PeerSettings {
  std::string Name_;
  std::string DataCentre_;
  std::string Address_;
};

/// What a caller may send and how long it may take.
struct CallerLimitSettings {
  std::int64_t HeadBytes_ = 16 * 1024;
  std::int64_t BodyBytes_ = 8 * 1024 * 1024;
  std::int64_t RequestMs_ = 15000;
  std::int64_t IdleMs_ = 75000;
};

/// How the configuration is kept current.
struct ConfigSettings {
  std::int64_t PollMs_ = 1000;
  /// VMs of a data centre that read the head from the platform.
  std::int64_t Pollers_ = 2;
  /// The age of evidence up to which every key is believed.
  std::int64_t EvidenceGraceMs_ = 5000;
  /// How long a fresh VM looks for the head before it makes do with the
  /// highest revision of the members that it reaches.
  std::int64_t FirstWaitMs_ = 3000;
  /// Changes kept for members that are behind.
  std::int64_t LogRevisions_ = 256;
};

/// How other VMs are watched.
struct MembershipSettings {
  std::int64_t HeartbeatMs_ = 1000;
  std::int64_t SuspectMs_ = 4000;
  std::int64_t GoneMs_ = 10000;
  /// A longer gap between two ticks is a pause of this VM.
  std::int64_t PauseMs_ = 2000;
  /// How often the platform's list is read.
  std::int64_t ListMs_ = 2000;
  /// VMs of a data centre that speak to other data centres.
  std::int64_t Representatives_ = 2;
};

/// How target requests are made.
struct TargetSettings {
  std::int64_t ConnectTimeoutMs_ = 1000;
  std::int64_t StatusPollMs_ = 250;
  std::int64_t LoadTimeoutMs_ = 20000;
};

/// How permits are granted.
enum class PlacementPolicy { Owners, LocalLru };

inline constexpr std::pair<PlacementPolicy, std::string_view>
    PlacementPolicyNames[] = {
        {PlacementPolicy::Owners, "owners"},
        {PlacementPolicy::LocalLru, "local_lru"},
};

/// In what order requests that wait for a target go.
enum class QueuePolicy { Fair, FirstCome };

inline constexpr std::pair<QueuePolicy, std::string_view> QueuePolicyNames[] = {
    {QueuePolicy::Fair, "fair"},
    {QueuePolicy::FirstCome, "first_come"},
};

/// How targets are owned, and how requests wait for them.
struct PlacementSettings {
  PlacementPolicy Policy_ = PlacementPolicy::Owners;
  QueuePolicy Queue_ = QueuePolicy::Fair;
  /// How long the ownership of targets lasts without renewal.
  std::int64_t LeaseTermMs_ = 6000;
  /// What its holder stops early and others wait longer.
  std::int64_t LeaseMarginMs_ = 500;
  std::int64_t QueueLength_ = 512;
  std::int64_t QueueLengthPerCustomer_ = 256;
  std::int64_t InventoryMs_ = 2000;
  std::int64_t ReportMs_ = 2000;
  /// A VM that has sent no inventory for so long counts as gone.
  std::int64_t SilentVmMs_ = 10000;
  std::int64_t MinResidenceMs_ = 1000;
  std::int64_t PatienceMs_ = 300;
  double ChallengeFactor_ = 1.5;
};

/// How the daemon stops.
struct ShutdownSettings {
  /// How long new requests are still taken after the VM reports not ready.
  std::int64_t BalancerNoticeMs_ = 2000;
  /// How long running requests may take to end.
  std::int64_t DrainMs_ = 60000;
};

/// How requests that may not be repeated are remembered.
struct LedgerSettings {
  /// How long a claim waits for others to share its transaction.
  std::int64_t WindowMs_ = 3;
  std::int64_t BatchRows_ = 100;
  /// Transactions a second that all VMs together may send for claims.
  std::int64_t WritesPerSecond_ = 200;
  /// The longest answer that is kept for resends.
  std::int64_t AnswerLimitBytes_ = 256 * 1024;
  /// Outcomes that may wait in memory while the platform is away.
  std::int64_t UnrecordedBytes_ = 32 * 1024 * 1024;
  std::int64_t RetentionS_ = 24 * 3600;
  std::int64_t SweepMs_ = 500;
  std::int64_t SweepRows_ = 50;
  /// How long the VM that made a claim is waited for.
  std::int64_t LookupMs_ = 500;
};

/// How requests that crash targets are recognised.
struct PoisonSettings {
  /// How long a broken connection waits for news that its target crashed.
  std::int64_t ConfirmMs_ = 3000;
  std::int64_t SuspectS_ = 600;
  std::int64_t QuarantineS_ = 3600;
  std::int64_t MostDigests_ = 10000;
};

/// How targets are chosen.
enum class RoutingPolicy { Informed, Random };

inline constexpr std::pair<RoutingPolicy, std::string_view>
    RoutingPolicyNames[] = {
        {RoutingPolicy::Informed, "informed"},
        {RoutingPolicy::Random, "random"},
};

/// How targets are chosen, ejected and tried again.
struct RoutingSettings {
  RoutingPolicy Policy_ = RoutingPolicy::Informed;
  /// Whether engines can take up a broken stream; one that does not know the
  /// headers would begin it again.
  bool ResumeStreams_ = true;
  /// What a target of another data centre costs, where a load costs two and a
  /// full set of slots one.
  double FarCost_ = 1;
  /// How old a target's figures may be when its report arrives.
  std::int64_t ReportLagMs_ = 50;
  std::int64_t PrefixEntries_ = 20000;
  /// Failures in a row that eject a target.
  std::int64_t EjectFailures_ = 5;
  std::int64_t EjectLeastMs_ = 1000;
  std::int64_t EjectMostMs_ = 60000;
  /// The most of a group of targets that is ejected at once.
  double EjectShare_ = 0.5;
  /// Retries for each request.
  double RetryRatio_ = 0.1;
  /// Retries a second that all VMs together have besides.
  double RetryFloorPerSecond_ = 10;
};

/// How customers' rates are kept over all VMs.
enum class QuotaPolicy { Shares, FixedSplit };

inline constexpr std::pair<QuotaPolicy, std::string_view> QuotaPolicyNames[] = {
    {QuotaPolicy::Shares, "shares"},
    {QuotaPolicy::FixedSplit, "fixed_split"},
};

/// How customers' rates are kept over all VMs, and how fast.
struct QuotaSettings {
  QuotaPolicy Policy_ = QuotaPolicy::Shares;
  std::int64_t LeaseMs_ = 10000;
  std::int64_t LeaseMarginMs_ = 1000;
  /// How long promises of the other VMs can keep a lease without the platform.
  std::int64_t PromiseMs_ = 600000;
  /// How long tokens from another VM may be used.
  std::int64_t LoanMs_ = 1000;
  std::int64_t LoanMarginMs_ = 250;
  /// The longest that a request waits for tokens of other VMs.
  std::int64_t BorrowWaitMs_ = 100;
  /// The part of every quota that is reserved as floors, and for how many VMs.
  std::int64_t FloorPercent_ = 5;
  std::int64_t FloorVms_ = 50;
  /// Up to this many customers, each VM joins all their quotas before they
  /// call.
  std::int64_t EagerCustomers_ = 64;
  /// Changes of customers' rows that all VMs together may write.
  std::int64_t WritesPerSecond_ = 100;
};

/// Everything a VM is told at its start.
struct DaemonSettings {
  std::string Vm_;
  std::string DataCentre_;
  std::string LogLevel_ = "info";
  /// SHA-256 of the operators' token; empty leaves the admin port open.
  std::string OperatorTokenSha256_;
  ListenSettings Listen_;
  PlatformSettings Platform_;
  std::vector<PeerSettings> Peers_;
  CallerLimitSettings CallerLimits_;
  ConfigSettings Config_;
  MembershipSettings Membership_;
  TargetSettings Targets_;
  ShutdownSettings Shutdown_;
  LedgerSettings Ledger_;
  PoisonSettings Poison_;
  RoutingSettings Routing_;
  QuotaSettings Quota_;
  PlacementSettings Placement_;
};

/// Reads and checks the settings of `anvild`. Every error names the file, the
/// field, what is wrong and what is allowed.
std::variant<DaemonSettings, std::vector<Error>>
loadDaemonSettings(const std::string &Path);

/// Checks settings given as text; `Path` only appears in errors.
std::variant<DaemonSettings, std::vector<Error>>
parseDaemonSettings(const std::string &Path, const std::string &Text);

} // namespace anvil

#endif // ANVIL_SETTINGS_DAEMONSETTINGS_H
