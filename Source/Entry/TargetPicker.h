#ifndef ANVIL_ENTRY_TARGETPICKER_H
#define ANVIL_ENTRY_TARGETPICKER_H

#include "Entry/FleetState.h"
#include "Entry/OwnerService.h"
#include "Entry/PlanService.h"
#include "Entry/TargetListService.h"
#include "Entry/TargetPermits.h"
#include "Kernel/ServiceRegistry.h"
#include "Serving/DispatchCost.h"
#include "Serving/TargetHealth.h"
#include "Settings/EntrySettings.h"

#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvil {

/// What a request asks of a target.
struct TargetQuery {
  std::string Service_;
  std::string Model_;
  std::string Adapter_;
  RequestShape Shape_;
  /// Targets that the request must not go to again.
  std::set<std::string> Excluded_;
};

/// The target for a request and what is known about it.
struct TargetChoice {
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  Endpoint Address_;
  AdapterReadiness Readiness_ = AdapterReadiness::NotNeeded;
  /// How long until the adapter is usable.
  Duration ReadyIn_{};
  /// The adapter version that the target is told to run, if one was named.
  std::optional<std::uint64_t> Version_;
  /// Whether a request to it needs a permit.
  bool Limited_ = false;
  /// How long it still reads prompts, and will read this one.
  Duration Prefill_{};
  Duration OwnPrefill_{};
  int Running_ = 0;
  int Slots_ = 0;
  double Cost_ = 0;
};

/// Finds the target for a request from what this VM knows.
class TargetPicker : public Service {
public:
  static constexpr std::string_view Name = "target_picker";

  TargetPicker(const EntrySettings &Settings, const ServiceRegistry &Services);

  std::string_view serviceName() const override { return Name; }

  /// The best target, or nothing when none can run the request.
  std::optional<TargetChoice> pick(const TargetQuery &Query, TimePoint Now);

  /// How long until the first of the targets that are closed for a while opens
  /// again; nothing when none is.
  std::optional<Duration> untilResumed(const TargetQuery &Query,
                                       TimePoint Now) const;

  /// Asks for the adapter at the picked target, unless it was just asked for.
  void requestAdapter(const TargetQuery &Query, const std::string &Target,
                      TimePoint Now);

  /// A target refused the request's adapter.
  void recordMissing(const TargetQuery &Query, const std::string &Target);

  /// Keeps requests off a target that can't be reached, until `noteUp` or a
  /// new incarnation. True when this is news.
  bool markUnreachable(const TargetChoice &Chosen);
  void markReachable(const TargetChoice &Chosen);

  /// Whether requests are kept off a target that is still listed.
  bool isUnreachable(const TargetChoice &Chosen) const;

  TargetHealth &health() { return Health_; }

private:
  DispatchCandidate describe(const ListedTarget &Listed,
                             const TargetQuery &Query, const EnginePlan *Engine,
                             double TransitFactor, TimePoint Now);
  void spreadAdapter(const TargetQuery &Query,
                     const std::vector<DispatchCandidate> &Candidates,
                     double TransitFactor, TimePoint Now);
  void describeAdapter(DispatchCandidate &Candidate, const TargetQuery &Query,
                       TimePoint Now);
  /// Adds how far a load would find a place at an engine.
  void describePlaces(DispatchCandidate &Candidate, const EngineBelief &View,
                      TimePoint Now) const;

  /// A want that the owner has not answered yet.
  std::uint64_t requestedVersion(const TargetQuery &Query) const;

  struct SentRequest {
    TimePoint FirstAt_{};
    TimePoint LastAt_{};
  };

  const EntrySettings &Settings_;
  std::shared_ptr<PlanService> Plans_;
  std::shared_ptr<TargetListService> Targets_;
  std::shared_ptr<FleetState> Fleet_;
  std::shared_ptr<OwnerService> Owners_;
  std::shared_ptr<TargetPermits> Permits_;
  TargetHealth Health_;
  /// The incarnations that can't be reached, by target.
  std::map<std::string, std::int64_t> Unreachable_;
  /// Wants sent lately, by engine and adapter.
  std::map<std::pair<std::string, std::string>, SentRequest> AdapterRequests_;
  TimePoint NextPrune_{};
};

} // namespace anvil

#endif // ANVIL_ENTRY_TARGETPICKER_H
