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
  /// `address:port` for callers, and for the balancer's health check.
  std::string Callers_;
  std::string Ready_;
  /// The VM's own address and the UDP port for messages between VMs.
  std::string Address_;
  std::int64_t PeerPort_ = 0;
  /// Zero serves no metrics.
  std::int64_t MetricsPort_ = 0;
};

/// The platform's store.
struct EntryStoreSettings {
  std::string Address_;
  std::int64_t TimeoutMs_ = 1000;
  /// How long one wait for changes of the configuration lasts.
  std::int64_t WatchMs_ = 1000;
  /// How often one VM of each group reads the list of targets.
  std::int64_t TargetListMs_ = 1100;
  /// How often a VM renews its row and reads those of the others.
  std::int64_t RenewMs_ = 3000;
};

/// The platform's promises and demands that the entry VM keeps to.
struct EntryBoundSettings {
  /// From a withdrawal's confirmation until its key must be refused.
  std::int64_t KeyWithdrawalMs_ = 5000;
  /// From a version's naming until no request may begin on an older one.
  std::int64_t AdapterVersionMs_ = 5000;
  /// The least pause between the orders of two VMs to one engine.
  std::int64_t OrderHandoverMs_ = 3000;
  /// From the request to stop until the process is killed.
  double StopS_ = 8;
  /// Second tries for each request of a service, over all VMs.
  double RetryRatio_ = 0.2;
  /// Second tries beyond the ratio, in `RetryWindowS_`, over all VMs.
  double RetryExtra_ = 50;
  std::int64_t RetryWindowS_ = 10;
  /// What customers may get beyond rate and burst in a window, over all VMs: a
  /// part of what these give, and so many tokens.
  std::int64_t QuotaWindowS_ = 8;
  double QuotaOverage_ = 0;
  double QuotaSlack_ = 0;
};

/// What one entry VM needs to serve routes on registered targets.
struct EntrySettings {
  std::string Mode_;
  std::string Vm_;
  std::string DataCentre_;
  std::string LogLevel_ = "info";
  EntryListenSettings Listen_;
  EntryStoreSettings Store_;
  EntryBoundSettings Bounds_;
  DispatchPolicy DispatchPolicy_ = DispatchPolicy::LeastCost;
  /// Adapters in transit over all engines that don't slow each other down;
  /// zero takes it from the number of engines.
  std::int64_t TransitLimit_ = 0;
  /// Prompt tokens that an engine is given for each millisecond. Well below
  /// what it can read, so that its streams go on meanwhile.
  double PrefillTokensPerMs_ = 20;

  /// The name under which this VM holds leases and orders engines. A machine
  /// that takes another's name is another holder.
  std::string holderName() const { return Vm_ + "@" + Listen_.Address_; }
};

/// Reads settings. Each error gives the file, the field, what is wrong with it
/// and what to do.
std::variant<EntrySettings, std::vector<Error>>
parseEntrySettings(const std::string &Path, const std::string &Text);

/// Whether the text asks for this mode rather than the one of `anvild` with
/// its own objects.
bool asksForEntryMode(const std::string &Path, const std::string &Text);

} // namespace anvil

#endif // ANVIL_SETTINGS_ENTRYSETTINGS_H
