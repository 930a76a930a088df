#ifndef ANVIL_ROUTING_INFORMEDSELECTOR_H
#define ANVIL_ROUTING_INFORMEDSELECTOR_H

#include "Membership/MembershipService.h"
#include "Requests/TargetSelector.h"
#include "Routing/RetryBudget.h"
#include "Routing/TargetChooser.h"
#include "Settings/DaemonSettings.h"
#include "Telemetry/Metrics.h"

#include <functional>
#include <memory>
#include <random>

namespace anvil {

/// Ranks targets by adapter residency, load, warm prefixes, data centre and
/// health, and enforces the retry budget.
class InformedSelector : public TargetSelector {
public:
  /// Whether a target crashed while it ran the request.
  using SuspectCheck = std::function<bool(const RequestContext &, TimePoint)>;

  InformedSelector(const DaemonSettings &Settings,
                   const ServiceRegistry &Services, std::uint64_t Seed);

  void setSuspectCheck(SuspectCheck Hook) { IsSuspect_ = std::move(Hook); }

  std::vector<std::string> rank(const RequestContext &Request,
                                const std::set<std::string> &Excluded,
                                TimePoint Now) override;
  void recordSelection(const RequestContext &Request, const std::string &Target,
                       TimePoint Now) override;
  void recordPermitDenied(const RequestContext &Request,
                          const std::string &Target, TimePoint Now) override;
  void recordAttempt(const RequestContext &Request, const Permit &Used,
                     AttemptResult Result, Duration FirstByte,
                     TimePoint Now) override;
  bool allowRetry(const RequestContext &Request, TimePoint Now) override;

private:
  const TargetIndex &indexOf(const SnapshotPtr &Snapshot);
  void recordLoadEnd(const RequestContext &Request, const std::string &Target,
                     TimePoint Now);
  void recordFailure(const std::string &Target, TimePoint Now);

  std::shared_ptr<TargetDirectory> Directory_;
  std::shared_ptr<MembershipService> Members_;
  std::shared_ptr<Metrics> Metrics_;
  SuspectCheck IsSuspect_;
  TargetChooser Chooser_;
  TargetLoad Load_;
  PrefixCache Prefixes_;
  OutlierEjector Ejector_;
  RetryBudget Budget_;
  std::mt19937_64 Random_;
  /// By revision, for the latest ones; a request ends under the revision that
  /// it started with.
  std::map<std::uint64_t, std::unique_ptr<TargetIndex>> Indexes_;
  /// When each request was assigned to its target, by request id and target.
  std::map<std::pair<std::string, std::string>, TimePoint> ChosenAt_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_INFORMEDSELECTOR_H
