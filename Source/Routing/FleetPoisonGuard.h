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

/// Keeps the crashes that this VM has seen or been told of, and tells the other
/// VMs of its own. Inside the data centre every VM is told; of each other data
/// centre two VMs, which pass it on.
class FleetPoisonGuard : public PoisonGuard {
public:
  FleetPoisonGuard(boost::asio::any_io_executor Executor,
                   const DaemonSettings &Settings, TimerService &Timers,
                   const ServiceRegistry &Services);

  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

  /// Asks an engine for its report.
  using ReportProbe =
      std::function<boost::asio::awaitable<Result<TargetReport>>(
          Endpoint Address, Duration Timeout)>;

  /// Sets how engines are asked after a connection broke.
  void onReportProbe(ReportProbe Hook) { ProbeReport_ = std::move(Hook); }

  std::optional<Refusal> check(const RequestContext &Request,
                               TimePoint Now) override;
  boost::asio::awaitable<void> confirm(const Permit &Used) override;
  bool isSuspect(const RequestContext &Request, TimePoint Now) override;
  void began(const RequestContext &Request, const Permit &Used,
             TimePoint Now) override;
  void ended(const RequestContext &Request, const Permit &Used,
             TryResult Result, TimePoint Now) override;

  /// A quarantined request, for operators.
  struct Entry {
    std::string Digest_;
    Duration Left_{0};
  };

  std::vector<Entry> list(TimePoint Now) const;

  /// Clears a request here and tells the others; false when it was not known
  /// here.
  bool clear(const std::string &Digest);

private:
  void settle(TimePoint Now);
  LifeSign look(const CrashConfirmer::Doubt &Open) const;
  boost::asio::awaitable<void> probe(Permit Used);
  void take(const std::vector<std::string> &Digests, const TargetLife &Crashed);
  template <class Notice>
  void tellAll(Notice Given, const std::string &RelayKey);
  template <class Notice> void tellOwnDataCentre(Notice Given);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<TargetDirectory> Directory_;
  std::shared_ptr<PeerNetwork> Network_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<Metrics> Metrics_;
  CrashTracker Crashes_;
  CrashConfirmer Doubts_;
  ReportProbe ProbeReport_;
  /// What targets answered that were just asked; nothing when they can't be
  /// reached.
  std::map<std::string, std::optional<TargetReport>> Probed_;
  TimerService::Subscription Tick_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_FLEETPOISONGUARD_H
