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

/// Where this VM listens. Port 0 lets the operating system choose a port.
struct ListenSettings {
  std::string Address_ = "127.0.0.1";
  std::int64_t CallerPort_ = 8080;
  std::int64_t AdminPort_ = 8081;
  std::int64_t PeerPort_ = 8082;
};

/// The connection to the platform.
struct PlatformSettings {
  std::string Address_;
  std::int64_t TimeoutMs_ = 1000;
  /// Consecutive failures after which the circuit breaker opens and calls fail
  /// immediately for `CircuitOpenMs_`.
  std::int64_t CircuitFailures_ = 5;
  std::int64_t CircuitOpenMs_ = 2000;
};

/// A peer whose address overrides the one in the platform's list.
struct PeerSettings {
  std::string Name_;
  std::string DataCentre_;
  std::string Address_;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimitSettings {
  std::int64_t HeadBytes_ = 16 * 1024;
  std::int64_t BodyBytes_ = 8 * 1024 * 1024;
  std::int64_t RequestMs_ = 15000;
  std::int64_t IdleMs_ = 75000;
};

/// How this VM keeps its configuration up to date.
struct ConfigSettings {
  std::int64_t PollMs_ = 1000;
  /// Number of VMs per data centre that poll the platform for the head (the
  /// latest published revision).
  std::int64_t Pollers_ = 2;
  /// Keys are accepted without restriction while the evidence that the
  /// configuration is current is at most this old.
  std::int64_t EvidenceGraceMs_ = 5000;
  /// How long a newly started VM tries to read the head before it falls back to
  /// the highest revision among the members that it can reach.
  std::int64_t HeadWaitMs_ = 3000;
  /// Number of changes kept for members that need to catch up.
  std::int64_t LogRevisions_ = 256;
};

/// Failure detection between VMs.
struct MembershipSettings {
  std::int64_t HeartbeatMs_ = 1000;
  std::int64_t SuspectMs_ = 4000;
  std::int64_t UnreachableMs_ = 10000;
  /// A gap between two ticks longer than this counts as a pause of this VM.
  std::int64_t PauseThresholdMs_ = 2000;
  /// Interval between reads of the platform's list of VMs.
  std::int64_t ListPeriodMs_ = 2000;
  /// Number of VMs per data centre that communicate with other data centres.
  std::int64_t Representatives_ = 2;
};

/// Time limits and polling of targets.
struct TargetSettings {
  std::int64_t ConnectTimeoutMs_ = 1000;
  std::int64_t StatusPollMs_ = 250;
  std::int64_t LoadTimeoutMs_ = 20000;
};

/// Who grants permits: the owner VM of each target, or each VM for itself.
enum class PlacementPolicy { Owners, LocalLru };

inline constexpr std::pair<PlacementPolicy, std::string_view>
    PlacementPolicyNames[] = {
        {PlacementPolicy::Owners, "owners"},
        {PlacementPolicy::LocalLru, "local_lru"},
};

/// The order in which requests that wait for a target are served.
enum class QueuePolicy { Fair, FirstCome };

inline constexpr std::pair<QueuePolicy, std::string_view> QueuePolicyNames[] = {
    {QueuePolicy::Fair, "fair"},
    {QueuePolicy::FirstCome, "first_come"},
};

/// Ownership of targets, and queueing of the requests for them.
struct PlacementSettings {
  PlacementPolicy Policy_ = PlacementPolicy::Owners;
  QueuePolicy Queue_ = QueuePolicy::Fair;
  /// Term of a target's ownership lease without renewal.
  std::int64_t LeaseTermMs_ = 6000;
  /// Safety margin: the holder stops this much before the end of the term,
  /// other VMs wait this much longer.
  std::int64_t LeaseMarginMs_ = 500;
  std::int64_t QueueLength_ = 512;
  std::int64_t QueueLengthPerCustomer_ = 256;
  std::int64_t InventoryPeriodMs_ = 2000;
  std::int64_t ReportPeriodMs_ = 2000;
  /// A VM that has sent no inventory for this long is treated as unavailable.
  std::int64_t InventoryTimeoutMs_ = 10000;
  std::int64_t MinResidenceMs_ = 1000;
  /// After this wait a request may displace an idle adapter of higher value
  /// than its own.
  std::int64_t EvictionWaitMs_ = 300;
  /// By what factor an adapter's value must be higher to displace another at
  /// once.
  double DisplacementFactor_ = 1.5;
};

/// Graceful shutdown.
struct ShutdownSettings {
  /// How long new requests are still accepted after the VM reports that it is
  /// not ready.
  std::int64_t NotReadyPeriodMs_ = 2000;
  /// How long running requests may take to finish.
  std::int64_t DrainMs_ = 60000;
};

/// The ledger of requests that must not be executed twice.
struct LedgerSettings {
  /// How long a claim waits for others to batch with in one transaction.
  std::int64_t BatchWindowMs_ = 3;
  std::int64_t BatchRows_ = 100;
  /// Fleet-wide limit on claim transactions per second.
  std::int64_t WritesPerSecond_ = 200;
  /// The largest response that is stored for replay to a repeated request.
  std::int64_t AnswerLimitBytes_ = 256 * 1024;
  /// Memory for outcomes that are not yet recorded while the platform is
  /// unreachable.
  std::int64_t UnrecordedBytes_ = 32 * 1024 * 1024;
  std::int64_t RetentionS_ = 24 * 3600;
  std::int64_t SweepMs_ = 500;
  std::int64_t SweepRows_ = 50;
  /// Timeout of the lookup at the VM that made a claim.
  std::int64_t LookupMs_ = 500;
};

/// Detection and quarantine of requests that crash targets.
struct PoisonSettings {
  /// How long to wait, after a connection broke, for confirmation that its
  /// target crashed.
  std::int64_t CrashConfirmationMs_ = 3000;
  std::int64_t SuspectS_ = 600;
  std::int64_t QuarantineS_ = 3600;
  std::int64_t MaxDigests_ = 10000;
};

/// How targets are selected.
enum class RoutingPolicy { Informed, Random };

inline constexpr std::pair<RoutingPolicy, std::string_view>
    RoutingPolicyNames[] = {
        {RoutingPolicy::Informed, "informed"},
        {RoutingPolicy::Random, "random"},
};

/// Selection and ejection of targets, and retries.
struct RoutingSettings {
  RoutingPolicy Policy_ = RoutingPolicy::Informed;
  /// Whether engines can resume an interrupted stream. An engine that does not
  /// support the resume headers would restart the stream from the beginning.
  bool ResumeStreams_ = true;
  /// Cost of a target in another data centre, relative to 2 for an adapter load
  /// and 1 for fully occupied slots.
  double RemoteCost_ = 1;
  /// How old a target's load figures may be when its report arrives.
  std::int64_t ReportLagMs_ = 50;
  std::int64_t PrefixEntries_ = 20000;
  /// Consecutive failures after which a target is ejected.
  std::int64_t EjectFailures_ = 5;
  std::int64_t MinEjectionMs_ = 1000;
  std::int64_t MaxEjectionMs_ = 60000;
  /// The largest share of a group of targets that may be ejected at once.
  double MaxEjectedShare_ = 0.5;
  /// Retry budget as a ratio of requests.
  double RetryRatio_ = 0.1;
  /// Fleet-wide retries per second allowed in addition to the ratio.
  double RetryFloorPerSecond_ = 10;
};

/// How customers' rate limits are enforced across VMs.
enum class QuotaPolicy { Shares, FixedSplit };

inline constexpr std::pair<QuotaPolicy, std::string_view> QuotaPolicyNames[] = {
    {QuotaPolicy::Shares, "shares"},
    {QuotaPolicy::FixedSplit, "fixed_split"},
};

/// Enforcement of customers' rate limits across VMs.
struct QuotaSettings {
  QuotaPolicy Policy_ = QuotaPolicy::Shares;
  std::int64_t LeaseMs_ = 10000;
  std::int64_t LeaseMarginMs_ = 1000;
  /// How long promises of the other VMs can extend a lease while the platform
  /// is unreachable.
  std::int64_t PromiseMs_ = 600000;
  /// How long tokens borrowed from another VM may be used.
  std::int64_t LoanMs_ = 1000;
  std::int64_t LoanMarginMs_ = 250;
  /// The longest that a request waits for tokens borrowed from other VMs.
  std::int64_t BorrowWaitMs_ = 100;
  /// The percentage of every quota that is reserved as guaranteed minimum
  /// shares, and the number of VMs among which it is divided.
  std::int64_t FloorPercent_ = 5;
  std::int64_t FloorVms_ = 50;
  /// With at most this many customers, each VM joins the quotas of all of them
  /// before their first request.
  std::int64_t PrejoinCustomerLimit_ = 64;
  /// Fleet-wide limit on writes of customers' quota rows per second.
  std::int64_t WritesPerSecond_ = 100;
};

/// All settings that `anvild` reads at start, apart from the entry mode's.
struct DaemonSettings {
  std::string Vm_;
  std::string DataCentre_;
  std::string LogLevel_ = "info";
  /// SHA-256 of the operators' token. If empty, the admin port needs no token.
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

/// Reads and validates the settings of `anvild`. Each error names the file, the
/// field, the problem and what is allowed.
std::variant<DaemonSettings, std::vector<Error>>
loadDaemonSettings(const std::string &Path);

/// Validates settings given as text; `Path` is used only in error messages.
std::variant<DaemonSettings, std::vector<Error>>
parseDaemonSettings(const std::string &Path, const std::string &Text);

} // namespace anvil

#endif // ANVIL_SETTINGS_DAEMONSETTINGS_H
