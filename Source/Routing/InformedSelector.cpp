#include "Routing/InformedSelector.h"

#include "Telemetry/Log.h"

#include <algorithm>

namespace anvil {

/// The number of revisions whose index is kept.
static constexpr std::size_t MaxIndexes = 4;

static ChooserOptions chooserOptions(const RoutingSettings &Settings) {
  ChooserOptions Options;
  Options.RemoteCost_ = Settings.RemoteCost_;
  return Options;
}

static EjectionOptions ejectionOptions(const RoutingSettings &Settings) {
  EjectionOptions Options;
  Options.Failures_ = static_cast<int>(Settings.EjectFailures_);
  Options.MinEjectionTime_ = std::chrono::milliseconds(Settings.MinEjectionMs_);
  Options.MaxEjectionTime_ = std::chrono::milliseconds(Settings.MaxEjectionMs_);
  Options.MaxEjectedShare_ = Settings.MaxEjectedShare_;
  return Options;
}

static RetryBudgetOptions budgetOptions(const RoutingSettings &Settings) {
  RetryBudgetOptions Options;
  Options.Ratio_ = Settings.RetryRatio_;
  Options.FloorPerSecond_ = Settings.RetryFloorPerSecond_;
  return Options;
}

InformedSelector::InformedSelector(const DaemonSettings &Settings,
                                   const ServiceRegistry &Services,
                                   std::uint64_t Seed)
    : Directory_(Services.require<TargetDirectory>(TargetDirectory::Name)),
      Members_(Services.require<MembershipService>(MembershipService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      IsSuspect_([](const RequestContext &, TimePoint) { return false; }),
      Chooser_(Settings.DataCentre_, chooserOptions(Settings.Routing_)),
      Load_(std::chrono::milliseconds(Settings.Routing_.ReportLagMs_)),
      Prefixes_(static_cast<std::size_t>(Settings.Routing_.PrefixEntries_)),
      Ejector_(ejectionOptions(Settings.Routing_)),
      Budget_(budgetOptions(Settings.Routing_)), Random_(Seed) {}

const TargetIndex &InformedSelector::indexOf(const SnapshotPtr &Snapshot) {
  auto &Index = Indexes_[Snapshot->Revision_];
  if (!Index)
    Index = std::make_unique<TargetIndex>(*Snapshot);
  const TargetIndex &Found = *Index;
  while (Indexes_.size() > MaxIndexes) {
    auto Oldest = Indexes_.begin();
    if (Oldest->second.get() == &Found)
      ++Oldest;
    Indexes_.erase(Oldest);
  }
  return Found;
}

std::vector<std::string>
InformedSelector::rank(const RequestContext &Request,
                       const std::set<std::string> &Excluded, TimePoint Now) {
  if (Excluded.empty()) {
    Budget_.setVmCount(static_cast<double>(Members_->members().size() + 1));
    Budget_.recordRequest();
  }
  const TargetGroup *Group = indexOf(Request.Snapshot_).find(Request);
  if (!Group)
    return {};
  ChoiceInputs Inputs{*Group,
                      Excluded,
                      *Directory_,
                      Load_,
                      Ejector_,
                      Prefixes_,
                      IsSuspect_(Request, Now),
                      Random_(),
                      Now};
  auto Ranked = Chooser_.rank(Request, Inputs);
  // A target that began to leave after the request was admitted is not used.
  const TargetIndex &Newest = *Indexes_.rbegin()->second;
  std::erase_if(Ranked, [&](const std::string &Target) {
    return !Newest.groupOf(Target);
  });
  return Ranked;
}

void InformedSelector::recordSelection(const RequestContext &Request,
                                       const std::string &Target,
                                       TimePoint Now) {
  ChosenAt_[{Request.RequestId_, Target}] = Now;
  Load_.recordStart(Target, Now);
  Ejector_.recordStart(Target, Now);
}

void InformedSelector::recordLoadEnd(const RequestContext &Request,
                                     const std::string &Target, TimePoint Now) {
  auto Found = ChosenAt_.find({Request.RequestId_, Target});
  if (Found == ChosenAt_.end())
    return;
  Load_.recordEnd(Target, Found->second, Now);
  ChosenAt_.erase(Found);
}

void InformedSelector::recordPermitDenied(const RequestContext &Request,
                                          const std::string &Target,
                                          TimePoint Now) {
  recordLoadEnd(Request, Target, Now);
  Ejector_.recordNeutral(Target);
}

void InformedSelector::recordFailure(const std::string &Target, TimePoint Now) {
  const TargetIndex &Newest = *Indexes_.rbegin()->second;
  const TargetGroup *Group = Newest.groupOf(Target);
  if (!Group ||
      !Ejector_.recordFailure(Target, Group->Name_, Group->Size_, Now))
    return;
  Metrics_->count("anvil_target_ejections_total", {{"target", Target}});
  logEvent(LogLevel::Warning, "target_ejected", {{"target", Target}});
}

void InformedSelector::recordAttempt(const RequestContext &Request,
                                     const Permit &Used, AttemptResult Result,
                                     Duration, TimePoint Now) {
  recordLoadEnd(Request, Used.Target_, Now);
  switch (Result) {
  case AttemptResult::Replied:
    Ejector_.recordSuccess(Used.Target_);
    if (!Request.Adapter_.empty())
      Prefixes_.record(TargetChooser::prefixKey(Request), Used.Target_);
    break;
  case AttemptResult::RefusedBeforeRunning:
    Ejector_.recordNeutral(Used.Target_);
    break;
  case AttemptResult::Failed:
  case AttemptResult::Crashed:
    recordFailure(Used.Target_, Now);
    break;
  }
}

bool InformedSelector::allowRetry(const RequestContext &, TimePoint Now) {
  bool Allowed = Budget_.take(Now);
  Metrics_->count("anvil_retries_total", {{"allowed", Allowed ? "yes" : "no"}});
  return Allowed;
}

} // namespace anvil
