#ifndef ANVIL_SETTINGS_ENTRYSETTINGS_H
#define ANVIL_SETTINGS_ENTRYSETTINGS_H

#include "Kernel/Error.h"
#include "Serving/DispatchPolicy.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace anvil {

/// Where an entry VM listens.
struct EntryListenSettings {
  /// `address:port` for callers, and for the load balancer's health check.
  std::string CallerAddress_;
  std::string ReadyAddress_;
  /// This VM's own address and its UDP port for messages between VMs.
  std::string Address_;
  std::int64_t PeerPort_ = 0;
  /// The TCP port on which other VMs ask this one to relay connections.
  std::int64_t RelayPort_ = 0;
  /// 0 disables the metrics server.
  std::int64_t MetricsPort_ = 0;
};

/// Access to the platform's store.
struct EntryStoreSettings {
  std::string Address_;
  std::int64_t TimeoutMs_ = 1000;
  /// How long one long poll for configuration changes lasts.
  std::int64_t WatchTimeoutMs_ = 1000;
  /// Interval at which one VM of each group reads the list of targets.
  std::int64_t TargetListPeriodMs_ = 1100;
  /// Interval at which a VM renews its row and reads the rows of its peers.
  std::int64_t RenewPeriodMs_ = 3000;
  /// The write and read calls a second that the store allows to all VMs
  /// together.
  double WritesPerSecond_ = 400;
  double ReadsPerSecond_ = 2000;
};

/// Time bounds and budgets set by the platform that the entry VM must keep.
struct PlatformBoundSettings {
  /// From the confirmation of a key's withdrawal until the key must be refused.
  std::int64_t KeyWithdrawalMs_ = 5000;
  /// From the confirmation of a revision until no request may be handled as
  /// only an older one allows.
  std::int64_t ConfigApplyMs_ = 3000;
  /// From the naming of an adapter version until no request may start on an
  /// older one.
  std::int64_t AdapterVersionMs_ = 5000;
  /// The minimum interval between orders from two different VMs to one engine.
  std::int64_t OrderHandoverMs_ = 3000;
  /// From the request to stop until the process is killed.
  double StopTimeoutS_ = 8;
  /// Retry budget as a ratio of a service's requests, over all VMs.
  double RetryRatio_ = 0.2;
  /// Retries allowed beyond the ratio in each `RetryWindowS_`, over all VMs.
  double RetryExtra_ = 50;
  std::int64_t RetryWindowS_ = 10;
  /// What a customer may get beyond rate and burst in a window, over all VMs: a
  /// fraction of what rate and burst allow (`QuotaOverage_`) plus a number of
  /// tokens (`QuotaSlack_`).
  std::int64_t QuotaWindowS_ = 8;
  double QuotaOverage_ = 0;
  double QuotaSlack_ = 0;
};

/// Settings of one entry VM, which serves routes on registered targets.
struct EntrySettings {
  std::string Mode_;
  std::string Vm_;
  std::string DataCentre_;
  std::string LogLevel_ = "info";
  EntryListenSettings Listen_;
  EntryStoreSettings Store_;
  PlatformBoundSettings Bounds_;
  DispatchPolicy DispatchPolicy_ = DispatchPolicy::LeastCost;
  /// The memory that the process may use.
  std::int64_t MemoryMb_ = 160;
  /// The number of adapters, over all engines, that can be in transit without
  /// slowing each other down; 0 derives it from the number of engines.
  std::int64_t TransitLimit_ = 0;
  /// Whether the whole system starts for the first time, so that no earlier
  /// owner of a target can exist.
  bool Bootstrap_ = false;
  /// Prompt tokens sent to an engine per millisecond. Well below its prefill
  /// rate, so that its running streams continue to make progress.
  double PrefillTokensPerMs_ = 20;

  /// The name under which this VM holds leases and sends orders to engines. It
  /// contains the address, so that a machine that reuses another's VM name is a
  /// different holder.
  std::string holderName() const { return Vm_ + "@" + Listen_.Address_; }
};

/// Parses and validates the settings of an entry VM. Each error names the file,
/// the field, the problem and how to correct it.
std::variant<EntrySettings, std::vector<Error>>
parseEntrySettings(const std::string &Path, const std::string &Text);

/// Returns whether the settings select entry mode (`"mode": "entry"`) rather
/// than the mode in which `anvild` keeps its own configuration objects.
bool selectsEntryMode(const std::string &Path, const std::string &Text);

} // namespace anvil

#endif // ANVIL_SETTINGS_ENTRYSETTINGS_H
