#ifndef ANVIL_ENTRY_TARGETPICKER_H
#define ANVIL_ENTRY_TARGETPICKER_H

#include "Balancing/StaleLoadDetector.h"
#include "Entry/ColdTargets.h"
#include "Entry/EngineOwnershipService.h"
#include "Entry/FleetState.h"
#include "Entry/PlanService.h"
#include "Entry/ReachService.h"
#include "Entry/TargetListService.h"
#include "Entry/TargetPermits.h"
#include "Kernel/ServiceRegistry.h"
#include "Loading/LoadChecks.h"
#include "Serving/DispatchCost.h"
#include "Serving/SlotWait.h"
#include "Serving/TargetHealth.h"
#include "Settings/EntrySettings.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvil {

/// What a request requires of a target.
struct TargetQuery {
  std::string Service_;
  /// The name of the request's route.
  std::string Route_;
  std::string Model_;
  std::string Adapter_;
  RequestShape Shape_;
  /// Targets that already failed or refused the request. They are not chosen.
  std::set<std::string> Excluded_;
  /// The software version that a target must have, if any.
  std::optional<std::string> SoftwareVersion_ = std::nullopt;
};

/// The target chosen for a request, with the data behind the choice.
struct TargetChoice {
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  std::string SoftwareVersion_;
  Endpoint Address_;
  std::string DataCentre_;
  AdapterReadiness Readiness_ = AdapterReadiness::NotNeeded;
  /// Time until the adapter is usable.
  Duration ReadyIn_{};
  /// The state of the adapter's load, where it comes from, and when it was
  /// ordered, if known.
  LoadStage Load_ = LoadStage::Unknown;
  LoadSource Source_ = LoadSource::Store;
  std::optional<TimePoint> OrderedAt_;
  /// The loads of all engines from the weight store.
  StoreQueue Queue_;
  /// The adapter version that the target is required to run, if one was named.
  std::optional<std::uint64_t> Version_;
  /// The adapter version that the target is known to hold; zero if none.
  std::uint64_t HeldVersion_ = 0;
  /// Whether it is reached by this VM's own connections; otherwise through
  /// another VM.
  bool IsDirect_ = true;
  /// Whether a request to it needs a permit or a place.
  bool NeedsPermit_ = false;
  /// The remaining prefill time of earlier prompts at the target, and the
  /// expected prefill time of this prompt.
  Duration Prefill_{};
  Duration OwnPrefill_{};
  /// The expected wait for a slot.
  Duration SlotWait_{};
  int Running_ = 0;
  int Slots_ = 0;
  /// The factor by which work takes longer there than at a usual target.
  double SpeedFactor_ = 1;
  double Cost_ = 0;
};

/// The address of a chosen target.
inline TargetAddress addressOf(const TargetChoice &Chosen) {
  return {Chosen.Target_, Chosen.Incarnation_, Chosen.Address_};
}

/// Selects the target for a request from this VM's view of the fleet: which
/// targets are usable, what runs on them, and which adapters they have loaded.
class TargetPicker : public Service {
public:
  static constexpr std::string_view Name = "target_picker";

  TargetPicker(const EntrySettings &Settings, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }

  /// Records the arrival of a request for a service.
  void recordRequest(const std::string &Service, TimePoint Now) {
    StaleLoads_.recordRequest(Service, Now);
  }

  /// The target with the lowest cost (or by the configured baseline policy);
  /// nothing if no target can run the request. Short requests of a large fleet
  /// are spread at random over targets with free slots.
  std::optional<TargetChoice> pick(const TargetQuery &Query, TimePoint Now);

  /// Whether the operator has evacuated the chosen target's data centre since.
  bool isEvacuated(const TargetChoice &Chosen) const {
    return Plans_->evacuations().isEvacuated(Chosen.DataCentre_);
  }

  /// Whether the adapter version of the chosen target has become too old for
  /// requests that are sent now.
  bool isOutdated(const TargetQuery &Query, const TargetChoice &Chosen,
                  TimePoint Now) const {
    return !Query.Adapter_.empty() &&
           Plans_->versions().required(Query.Model_, Query.Adapter_, Now) >
               Chosen.HeldVersion_;
  }

  /// Whether the target's entry still shows the chosen incarnation, or shows
  /// none since the target has left.
  bool isSameIncarnation(const TargetChoice &Chosen) const;

  /// Whether the service has usable targets of the query's software version.
  bool hasSoftwareVersion(const TargetQuery &Query) const;

  /// Whether the service has usable targets and all of them are in evacuated
  /// data centres.
  bool isFullyEvacuated(const TargetQuery &Query) const;

  /// Time until the first suspended target is available again; nothing if none
  /// is suspended.
  std::optional<Duration> untilResumed(const TargetQuery &Query,
                                       TimePoint Now) const;

  /// The state of the query's adapter at one target. Much cheaper than `pick`.
  DispatchCandidate adapterAt(const std::string &Target,
                              const TargetQuery &Query, TimePoint Now);

  /// Requests the adapter at the given target, unless it was requested just
  /// before.
  void requestAdapter(const TargetQuery &Query, const std::string &Target,
                      TimePoint Now);

  /// Records that a target refused the request because it lacks the adapter.
  void recordMissing(const TargetQuery &Query, const std::string &Target);

  /// Whether other VMs are being asked about a target that could otherwise take
  /// the request.
  bool isSought(const TargetQuery &Query) const;

  /// The requests of this VM that wait for adapters.
  WaitingRequests &waiting() { return Waiting_; }

  /// The checks whether loads that are due have ended.
  LoadChecks &loadChecks() { return LoadChecks_; }

  TargetHealth &health() { return Health_; }

  /// The waits for slots of engines.
  SlotWait &slotWaits() { return SlotWaits_; }

  /// How long a request with an adapter is held back before it is sent to the
  /// chosen target, since it would otherwise wait there for longer than a new
  /// version of the adapter allows; zero to send it now.
  Duration holdFor(const TargetQuery &Query, const TargetChoice &Chosen) const;

private:
  /// The usable targets of a service outside evacuated data centres.
  std::vector<const ListedTarget *>
  eligibleTargets(const std::string &Service) const;
  DispatchCandidate describe(const ListedTarget &Listed,
                             const TargetQuery &Query, const EnginePlan *Engine,
                             double LoadFactor, TimePoint Now);
  void spreadAdapter(const TargetQuery &Query,
                     const std::vector<DispatchCandidate> &Candidates,
                     double TransitFactor, TimePoint Now);
  /// Requires the candidate's `SlotWait_`: the adapter's version must be
  /// allowed when the request starts.
  void describeAdapter(DispatchCandidate &Candidate, const TargetQuery &Query,
                       TimePoint Now);
  /// The expected wait for a slot of an engine.
  Duration slotWait(const RegisteredTarget &Entry, int Running,
                    double SpeedFactor, TimePoint Now) const;
  /// Fills in how many adapter slots of an engine are used, pinned (loading or
  /// serving a request), and loading.
  void describeAdapterSlots(DispatchCandidate &Candidate,
                            const EngineView &View, TimePoint Now) const;

  /// The index of the chosen candidate, or the size of the list when none can
  /// run the request.
  std::size_t select(const TargetQuery &Query, const ServicePlan &Service,
                     const std::vector<DispatchCandidate> &Candidates,
                     TimePoint Now) const;

  /// Fills in what the fleet view knows of the adapter at the chosen target.
  void describeLoad(TargetChoice &Chosen, const TargetQuery &Query,
                    TimePoint Now) const;

  /// How long a target gets no requests of this VM: for lack of a permit, or
  /// since it asked for none.
  Duration suspendedFor(const RegisteredTarget &Entry, TimePoint Now) const;

  std::uint64_t requestedVersion(const TargetQuery &Query) const;

  /// An adapter request that the owner has not replied to yet.
  struct SentRequest {
    TimePoint FirstAt_{};
    TimePoint LastAt_{};
  };

  const EntrySettings &Settings_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<EngineOwnershipService> Owners_;
  std::shared_ptr<ColdTargets> ColdTargets_;
  std::shared_ptr<TargetPermits> Permits_;
  std::shared_ptr<ReachService> Reach_;
  TargetHealth Health_;
  SlotWait SlotWaits_;
  StaleLoadDetector StaleLoads_;
  /// Adapter requests sent recently, by engine and adapter.
  std::map<std::pair<std::string, std::string>, SentRequest> AdapterRequests_;
  TimePoint NextPrune_{};
  WaitingRequests Waiting_;
  LoadChecks LoadChecks_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETPICKER_H
