#ifndef ANVIL_SERVING_DISPATCHCOST_H
#define ANVIL_SERVING_DISPATCHCOST_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace anvil {

/// The state of a request's adapter on a target.
enum class AdapterReadiness {
  NotNeeded,
  Resident,
  Loading,
  Absent,
  Impossible
};

/// A target that a request may be sent to, in this VM's view.
struct DispatchCandidate {
  std::string Id_;
  bool SameDataCentre_ = false;
  /// Running requests of all VMs on the target, and the tokens that they take.
  int Running_ = 0;
  double Tokens_ = 0;
  int Slots_ = 1;
  /// The time until the prompts sent to it are processed.
  Duration Prefill_{};
  /// The expected wait for a slot.
  Duration SlotWait_{};
  double KvTokens_ = 0;
  AdapterReadiness Readiness_ = AdapterReadiness::NotNeeded;
  /// The time until an adapter in transit is usable.
  Duration ReadyIn_{};
  /// The rank of the target in the adapter's stable order; zero is its home.
  std::size_t HomeRank_ = 0;
  /// Whether the target held the adapter recently, so that it loads fast.
  bool Warm_ = false;
  /// The expected time to load the adapter from the weight store, and where the
  /// target held it recently; both with the order's latency.
  Duration LoadTime_ = std::chrono::milliseconds(300);
  Duration WarmLoadTime_ = std::chrono::milliseconds(60);
  /// Whether the engine has an owner that can order the adapter to be loaded.
  bool HasOwner_ = false;
  /// The used adapter slots of the engine, and the number of all.
  int UsedAdapterSlots_ = 0;
  int AdapterCapacity_ = 0;
  /// Used adapter slots whose adapter is in transit or has running requests.
  int PinnedAdapterSlots_ = 0;
  /// Whether the owner has left a request for the adapter unanswered.
  bool OwnerUnresponsive_ = false;
  /// Adapters in transit to the target, and the factor by which loads take
  /// longer than usual over the whole fleet.
  int InTransit_ = 0;
  double LoadFactor_ = 1;
  /// Whether the target declares a limit and therefore takes requests only with
  /// a permit, and whether no recent response has confirmed that limit.
  bool Limited_ = false;
  bool LimitIsStale_ = false;
  /// Whether the target is cold and therefore takes requests only with a
  /// permit. Unlike a limit, this doesn't keep adapters away: the target takes
  /// its share of requests as soon as it is warm.
  bool Cold_ = false;
  double FailureShare_ = 0;
  Duration ExcessLatency_{};
  /// The factor by which work takes longer there than at the service's median
  /// target. `Prefill_` includes it.
  double SpeedFactor_ = 1;
  /// The time that a plain service takes at its median target; zero if unknown.
  Duration UsualServiceTime_{};
};

/// The resources that a request takes.
struct RequestShape {
  double PromptTokens_ = 0;
  double OutputTokens_ = 0;
  /// Whether prefill takes so long that the streams running on the same engine
  /// pause for longer than their callers accept.
  bool StallsStreams_ = false;
};

/// The cost of sending the request to a target: the expected time to its first
/// byte in milliseconds, plus penalties. Under skewed demand a popular adapter
/// is loaded on a further engine once its engines are so full that the load is
/// quicker than waiting. The largest prompts go where they stall few streams,
/// even if their adapter has to be loaded there.
double dispatchCost(const DispatchCandidate &Candidate,
                    const RequestShape &Shape);

/// The index of the cheapest candidate that can run the request, or the size of
/// the list when none can.
std::size_t selectCheapest(const std::vector<DispatchCandidate> &Candidates,
                           const RequestShape &Shape);

/// The index of the engine on which a popular adapter should be loaded next, or
/// the size of the list when it is on enough engines. The number of its homes
/// grows with its running requests, so that no engine serves too many of them.
std::size_t nextHomeToLoad(const std::vector<DispatchCandidate> &Candidates,
                           int Uses);

/// Whether a target can run the request, if necessary after a load.
bool canRun(const DispatchCandidate &Candidate);

/// Whether a target has no free slot or too little memory for a request.
bool lacksCapacity(const DispatchCandidate &Candidate,
                   const RequestShape &Shape);

} // namespace anvil

#endif // ANVIL_SERVING_DISPATCHCOST_H
