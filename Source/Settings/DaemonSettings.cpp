#include "Settings/DaemonSettings.h"

#include "Objects/FieldReader.h"
#include "Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

namespace anvil {

static constexpr NumberRange PortRange{0, 65535};
static constexpr NumberRange MillisRange{1, 3600000};
static constexpr NumberRange CountRange{1, 1000};
static constexpr NumberRange SmallCountRange{1, 10};
static constexpr NumberRange HeartbeatRange{50, 60000};
static constexpr NumberRange LogRange{1, 100000};
static constexpr NumberRange BytesRange{1024, 1 << 30};

static void visitFields(FieldReader &Fields, ListenSettings &Listen) {
  Fields.field("address", Listen.Address_);
  Fields.field("caller_port", Listen.CallerPort_, PortRange);
  Fields.field("admin_port", Listen.AdminPort_, PortRange);
  Fields.field("peer_port", Listen.PeerPort_, PortRange);
}

static void visitFields(FieldReader &Fields, PlatformSettings &Platform) {
  Fields.field("address", Platform.Address_, FieldPresence::Required);
  Fields.field("timeout_ms", Platform.TimeoutMs_, MillisRange);
  Fields.field("circuit_failures", Platform.CircuitFailures_, CountRange);
  Fields.field("circuit_open_ms", Platform.CircuitOpenMs_, MillisRange);
}

static void visitFields(FieldReader &Fields, PeerSettings &Peer) {
  Fields.field("name", Peer.Name_, FieldPresence::Required);
  Fields.field("data_centre", Peer.DataCentre_, FieldPresence::Required);
  Fields.field("address", Peer.Address_, FieldPresence::Required);
}

static void visitFields(FieldReader &Fields, CallerLimitSettings &Limits) {
  Fields.field("head_bytes", Limits.HeadBytes_, BytesRange);
  Fields.field("body_bytes", Limits.BodyBytes_, BytesRange);
  Fields.field("request_ms", Limits.RequestMs_, MillisRange);
  Fields.field("idle_ms", Limits.IdleMs_, MillisRange);
}

static void visitFields(FieldReader &Fields, ConfigSettings &Config) {
  Fields.field("poll_ms", Config.PollMs_, MillisRange);
  Fields.field("pollers", Config.Pollers_, SmallCountRange);
  Fields.field("evidence_grace_ms", Config.EvidenceGraceMs_, MillisRange);
  Fields.field("first_wait_ms", Config.HeadWaitMs_, MillisRange);
  Fields.field("log_revisions", Config.LogRevisions_, LogRange);
}

static void visitFields(FieldReader &Fields, MembershipSettings &Membership) {
  Fields.field("heartbeat_ms", Membership.HeartbeatMs_, HeartbeatRange);
  Fields.field("suspect_ms", Membership.SuspectMs_, MillisRange);
  Fields.field("gone_ms", Membership.UnreachableMs_, MillisRange);
  Fields.field("pause_ms", Membership.PauseThresholdMs_, MillisRange);
  Fields.field("list_ms", Membership.ListPeriodMs_, MillisRange);
  Fields.field("representatives", Membership.Representatives_, SmallCountRange);
}

static void visitFields(FieldReader &Fields, TargetSettings &Targets) {
  Fields.field("connect_timeout_ms", Targets.ConnectTimeoutMs_, MillisRange);
  Fields.field("status_poll_ms", Targets.StatusPollMs_, MillisRange);
  Fields.field("load_timeout_ms", Targets.LoadTimeoutMs_, MillisRange);
}

static void visitFields(FieldReader &Fields, ShutdownSettings &Shutdown) {
  Fields.field("balancer_notice_ms", Shutdown.NotReadyPeriodMs_, MillisRange);
  Fields.field("drain_ms", Shutdown.DrainMs_, MillisRange);
}

static void visitFields(FieldReader &Fields, QuotaSettings &Quota) {
  constexpr NumberRange LoanRange{10, 60000};
  Fields.choice("policy", Quota.Policy_, QuotaPolicyNames);
  Fields.field("lease_ms", Quota.LeaseMs_, {2000, 3600000});
  Fields.field("lease_margin_ms", Quota.LeaseMarginMs_, {100, 60000});
  Fields.field("promise_ms", Quota.PromiseMs_, {2000, 24 * 3600000});
  Fields.field("loan_ms", Quota.LoanMs_, LoanRange);
  Fields.field("loan_margin_ms", Quota.LoanMarginMs_, LoanRange);
  Fields.field("borrow_wait_ms", Quota.BorrowWaitMs_, {1, 2000});
  Fields.field("floor_percent", Quota.FloorPercent_, {0, 50});
  Fields.field("floor_vms", Quota.FloorVms_, {1, 10000});
  Fields.field("eager_customers", Quota.PrejoinCustomerLimit_, {0, 10000});
  Fields.field("writes_per_second", Quota.WritesPerSecond_, CountRange);
}

/// Claims must be retained longer than any request they belong to can run.
static constexpr NumberRange RetentionRange{3600, 30 * 24 * 3600};

static void visitFields(FieldReader &Fields, LedgerSettings &Ledger) {
  Fields.field("window_ms", Ledger.BatchWindowMs_, {0, 1000});
  Fields.field("batch_rows", Ledger.BatchRows_, CountRange);
  Fields.field("writes_per_second", Ledger.WritesPerSecond_, {1, 100000});
  Fields.field("answer_limit_bytes", Ledger.AnswerLimitBytes_, {0, 1 << 24});
  Fields.field("unrecorded_bytes", Ledger.UnrecordedBytes_, BytesRange);
  Fields.field("retention_s", Ledger.RetentionS_, RetentionRange);
  Fields.field("sweep_ms", Ledger.SweepMs_, MillisRange);
  Fields.field("sweep_rows", Ledger.SweepRows_, CountRange);
  Fields.field("lookup_ms", Ledger.LookupMs_, MillisRange);
}

static void visitFields(FieldReader &Fields, PoisonSettings &Poison) {
  Fields.field("confirm_ms", Poison.CrashConfirmationMs_, MillisRange);
  Fields.field("suspect_s", Poison.SuspectS_, {1, 86400});
  Fields.field("quarantine_s", Poison.QuarantineS_, {1, 7 * 86400});
  Fields.field("most_digests", Poison.MaxDigests_, {1, 1000000});
}

static void visitFields(FieldReader &Fields, RoutingSettings &Routing) {
  Fields.choice("policy", Routing.Policy_, RoutingPolicyNames);
  Fields.field("resume_streams", Routing.ResumeStreams_);
  Fields.field("far_cost", Routing.RemoteCost_, {0, 1000});
  Fields.field("report_lag_ms", Routing.ReportLagMs_, {0, 60000});
  Fields.field("prefix_entries", Routing.PrefixEntries_, {2, 1000000});
  Fields.field("eject_failures", Routing.EjectFailures_, CountRange);
  Fields.field("eject_least_ms", Routing.MinEjectionMs_, MillisRange);
  Fields.field("eject_most_ms", Routing.MaxEjectionMs_, MillisRange);
  Fields.field("eject_share", Routing.MaxEjectedShare_, {0, 0.9});
  Fields.field("retry_ratio", Routing.RetryRatio_, {0, 1});
  Fields.field("retry_floor_per_second", Routing.RetryFloorPerSecond_,
               {0, 10000});
}

/// With terms below one second, renewals would write to the platform's table
/// too often.
static constexpr NumberRange LeaseRange{1000, 60000};
static constexpr NumberRange QueueRange{1, 100000};
static constexpr NumberRange FactorRange{1, 100};

static void visitFields(FieldReader &Fields, PlacementSettings &Placement) {
  Fields.choice("policy", Placement.Policy_, PlacementPolicyNames);
  Fields.choice("queue", Placement.Queue_, QueuePolicyNames);
  Fields.field("lease_term_ms", Placement.LeaseTermMs_, LeaseRange);
  Fields.field("lease_margin_ms", Placement.LeaseMarginMs_, MillisRange);
  Fields.field("queue_length", Placement.QueueLength_, QueueRange);
  Fields.field("queue_length_per_customer", Placement.QueueLengthPerCustomer_,
               QueueRange);
  Fields.field("inventory_ms", Placement.InventoryPeriodMs_, MillisRange);
  Fields.field("report_ms", Placement.ReportPeriodMs_, MillisRange);
  Fields.field("silent_vm_ms", Placement.InventoryTimeoutMs_, MillisRange);
  Fields.field("min_residence_ms", Placement.MinResidenceMs_, MillisRange);
  Fields.field("patience_ms", Placement.EvictionWaitMs_, MillisRange);
  Fields.field("challenge_factor", Placement.DisplacementFactor_, FactorRange);
  // What remains of the term after the margin must leave time for a renewal.
  if (2 * Placement.LeaseMarginMs_ >= Placement.LeaseTermMs_)
    Fields.report("lease_margin_ms", "is not less than half of lease_term_ms",
                  "lower lease_margin_ms or raise lease_term_ms");
}

static void visitFields(FieldReader &Fields, DaemonSettings &Settings) {
  Fields.field("vm", Settings.Vm_, FieldPresence::Required);
  Fields.field("data_centre", Settings.DataCentre_, FieldPresence::Required);
  Fields.field("log_level", Settings.LogLevel_);
  Fields.field("operator_token_sha256", Settings.OperatorTokenSha256_);
  Fields.record("listen", Settings.Listen_);
  Fields.record("platform", Settings.Platform_, FieldPresence::Required);
  Fields.records("peers", Settings.Peers_);
  Fields.record("caller_limits", Settings.CallerLimits_);
  Fields.record("config", Settings.Config_);
  Fields.record("membership", Settings.Membership_);
  Fields.record("targets", Settings.Targets_);
  Fields.record("shutdown", Settings.Shutdown_);
  Fields.record("ledger", Settings.Ledger_);
  Fields.record("poison", Settings.Poison_);
  Fields.record("routing", Settings.Routing_);
  Fields.record("quota", Settings.Quota_);
  Fields.record("placement", Settings.Placement_);
}

static void checkAddress(FieldReader &Fields, std::string_view Name,
                         const std::string &Text) {
  auto Parsed = parseEndpoint(Text);
  if (!Text.empty() && !isOk(Parsed))
    Fields.report(Name, errorOf(Parsed).Message_, errorOf(Parsed).Action_);
}

/// Validates settings that depend on each other.
static void checkIntervals(FieldReader &Fields,
                           const DaemonSettings &Settings) {
  const MembershipSettings &Intervals = Settings.Membership_;
  if (Intervals.SuspectMs_ < 2 * Intervals.HeartbeatMs_)
    Fields.report("membership.suspect_ms", "is less than two heartbeats",
                  "make it at least twice heartbeat_ms");
  if (Intervals.UnreachableMs_ <= Intervals.SuspectMs_)
    Fields.report("membership.gone_ms", "is not greater than suspect_ms",
                  "make it longer than suspect_ms");
  std::int64_t SpreadMs = Settings.Config_.PollMs_ + 2 * Intervals.HeartbeatMs_;
  if (Settings.Config_.EvidenceGraceMs_ < SpreadMs)
    Fields.report("config.evidence_grace_ms",
                  "is shorter than the time in which evidence reaches every VM",
                  "make it at least poll_ms + 2 x heartbeat_ms");
}

std::variant<DaemonSettings, std::vector<Error>>
parseDaemonSettings(const std::string &Path, const std::string &Text) {
  auto Parsed = parseSettings(Path, Text);
  if (!isOk(Parsed))
    return std::vector<Error>{errorOf(Parsed)};
  std::vector<Error> Errors;
  DaemonSettings Settings;
  FieldReader Reader(valueOf(Parsed), "", Errors);
  visitFields(Reader, Settings);
  Reader.reportUnknownFields();
  checkAddress(Reader, "platform.address", Settings.Platform_.Address_);
  checkIntervals(Reader, Settings);
  for (const PeerSettings &Peer : Settings.Peers_)
    checkAddress(Reader, "peers." + Peer.Name_, Peer.Address_);
  if (Errors.empty())
    return Settings;
  for (Error &Problem : Errors)
    Problem.Where_ = Path + ": " + Problem.Where_;
  return Errors;
}

std::variant<DaemonSettings, std::vector<Error>>
loadDaemonSettings(const std::string &Path) {
  auto Text = readTextFile(Path);
  if (!isOk(Text))
    return std::vector<Error>{errorOf(Text)};
  return parseDaemonSettings(Path, valueOf(Text));
}

} // namespace anvil
