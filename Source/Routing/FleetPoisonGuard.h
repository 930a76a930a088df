#ifndef ANVIL_ROUTING_FLEETPOISONGUARD_H
#define ANVIL_ROUTING_FLEETPOISONGUARD_H

#include "Kernel/TimerService.h"
#include "Membership/MembershipService.h"
#include "Peer/PeerNetwork.h"
#include "Requests/PoisonGuard.h"
#include "Routing/CrashConfirmer.h"
#include "Routing/CrashTracker.h"
#include "Routing/TargetDirectory.h"
#include "Settings/DaemonSettings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace anvil {

/// Quarantines requests that crash targets. Records the crashes that this VM
/// has seen or that other VMs reported, and notifies the other VMs of its own:
/// every VM of its data centre directly, and two VMs of each remote data
/// centre, which forward the notice.
class FleetPoisonGuard : public PoisonGuard {
public:
  FleetPoisonGuard(boost::asio::any_io_executor Executor,
                   const DaemonSettings &Settings, TimerService &Timers,
                   const ServiceRegistry &Services);

  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Requests a report from an engine.
  using ReportProbe =
      std::function<boost::asio::awaitable<Result<TargetReport>>(
          Endpoint Address, Duration Timeout)>;

  /// Sets the probe that is sent to an engine after a connection to it broke.
  void setReportProbe(ReportProbe Hook) { ProbeReport_ = std::move(Hook); }

  std::optional<Refusal> check(const RequestContext &Request,
                               TimePoint Now) override;
  boost::asio::awaitable<void>
  awaitCrashConfirmation(const Permit &Used) override;
  bool isSuspect(const RequestContext &Request, TimePoint Now) override;
  void recordStart(const RequestContext &Request, const Permit &Used,
                   TimePoint Now) override;
  void recordEnd(const RequestContext &Request, const Permit &Used,
                 AttemptResult Result, TimePoint Now) override;

  struct QuarantinedRequest {
    std::string Digest_;
    Duration RemainingTime_{0};
  };

  std::vector<QuarantinedRequest> list(TimePoint Now) const;

  /// Clears a request on this VM and notifies the others; false when this VM
  /// did not know it.
  bool clear(const std::string &Digest);

private:
  void resolvePending(TimePoint Now);
  IncarnationState stateOf(const CrashConfirmer::SuspectedCrash &Crash) const;
  boost::asio::awaitable<void> probe(Permit Used);
  void recordCrash(const std::vector<std::string> &Digests,
                   const TargetInstance &Crashed);
  template <class Notice>
  void notifyFleet(Notice Message, const std::string &RelayKey);
  template <class Notice> void notifyOwnDataCentre(Notice Message);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<TargetDirectory> Directory_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<Metrics> Metrics_;
  CrashTracker Crashes_;
  CrashConfirmer Pending_;
  ReportProbe ProbeReport_;
  /// The replies of the targets that are being probed; no value when a target
  /// is unreachable.
  std::map<std::string, std::optional<TargetReport>> Probed_;
  TimerService::Subscription Tick_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_FLEETPOISONGUARD_H
