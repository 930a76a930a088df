#include "Serving/DispatchCost.h"

#include <algorithm>

namespace anvil {

/// The delay of the first byte for each running request, ms: its share of a
/// batch step.
static constexpr double PerRunningMs = 2;

/// Above 1, since the prefill backlog delays both the first byte and the
/// running streams.
static constexpr double PrefillWeight = 1.5;

/// The penalty for each stream that a prompt stalls, ms. A late stream loses
/// two thirds of its value, while a large prompt that waits for its adapter is
/// mostly still on time.
static constexpr double StalledStreamMs = 150;

/// The minimum of running requests for each home of an adapter: a fifth of a
/// usual engine's load.
static constexpr int LeastUsesPerHome = 4;

/// The delay for each request beyond the slots, ms: the share of a mean run
/// until a slot is freed.
static constexpr double PerWaitingMs = 80;

/// The penalty for a target whose memory is full, ms: it preempts running
/// requests.
static constexpr double NoMemoryMs = 600;

/// The penalty for a target with no free slot, ms; the queue is added to it.
static constexpr double FullMs = 250;

/// The time to load an adapter, with the order's latency, ms; from the users'
/// sheets.
static constexpr double LoadMs = 300;

/// The time to load an adapter that the engine held recently, with the order's
/// latency, ms.
static constexpr double WarmLoadMs = 60;

/// The delay that a load from the weight store causes to other loads, ms: it
/// occupies one of few transit slots for the time of a load.
static constexpr double StoreMs = 250;

/// The penalty for each rank away from the adapter's home, ms. Reloads at the
/// home take a tenth, and its cache holds the shared prompts.
static constexpr double PerHomeRankMs = 15;

/// The maximum number of adapters in transit to one target; from the platform's
/// documentation.
static constexpr int MostInTransit = 4;

/// The penalty for an engine that has left requests for adapters unanswered,
/// ms; it may do so for as long again.
static constexpr double StalledMs = 400;

/// The round trip to another data centre, ms.
static constexpr double FarMs = 2;

/// The penalty for a failure, ms: about the wait for one more try.
static constexpr double FailureMs = 1500;

/// The penalty for using a permit of a target with a limit, ms, so that permits
/// are left to requests that no other target serves as soon; and for loading an
/// adapter there, ms, which is the last resort.
static constexpr double PermitMs = 50;
static constexpr double LimitedLoadMs = 1000;

/// The penalty for a load that evicts another adapter, ms.
static constexpr double EvictionMs = 20;

/// The penalty when no adapter can be evicted and the load waits until one is
/// no longer used, ms: about a mean run.
static constexpr double NoPlaceMs = 900;

static bool hasNoMemory(const DispatchCandidate &Given,
                        const RequestShape &Shape) {
  return Given.KvTokens_ > 0 &&
         Given.Tokens_ + Shape.PromptTokens_ + Shape.OutputTokens_ >
             Given.KvTokens_;
}

bool isFull(const DispatchCandidate &Given, const RequestShape &Shape) {
  return Given.Running_ >= Given.Slots_ || hasNoMemory(Given, Shape);
}

bool canRun(const DispatchCandidate &Given) {
  bool NobodyLoads =
      Given.Readiness_ == AdapterReadiness::Absent && !Given.HasOwner_;
  return Given.Readiness_ != AdapterReadiness::Impossible && !NobodyLoads;
}

double dispatchCost(const DispatchCandidate &Given, const RequestShape &Shape) {
  double Cost = PerRunningMs * Given.Running_ +
                PrefillWeight * toSeconds(Given.Prefill_) * 1000;
  if (Given.Running_ >= Given.Slots_)
    Cost += FullMs + PerWaitingMs * (Given.Running_ - Given.Slots_ + 1);
  if (hasNoMemory(Given, Shape))
    Cost += NoMemoryMs;
  if (Shape.StallsStreams_)
    Cost += StalledStreamMs * Given.Running_;
  switch (Given.Readiness_) {
  case AdapterReadiness::NotNeeded:
  case AdapterReadiness::Resident:
    break;
  case AdapterReadiness::Loading:
    Cost += toSeconds(Given.ReadyIn_) * 1000;
    break;
  case AdapterReadiness::Absent:
    Cost += Given.Warm_ ? WarmLoadMs : LoadMs * Given.LoadFactor_ + StoreMs;
    Cost += PerHomeRankMs * static_cast<double>(Given.HomeRank_);
    if (Given.Limited_)
      Cost += LimitedLoadMs;
    if (Given.InTransit_ >= MostInTransit)
      Cost += LoadMs;
    if (Given.Stalled_)
      Cost += StalledMs;
    if (Given.PlacesBusy_ >= Given.Places_)
      Cost += NoPlaceMs;
    else if (Given.PlacesTaken_ >= Given.Places_)
      Cost += EvictionMs;
    break;
  case AdapterReadiness::Impossible:
    break;
  }
  // A target shows only by the requests it receives that its limit is
  // withdrawn, so a stale limit has no penalty.
  if (Given.Limited_ && !Given.LimitIsStale_)
    Cost += PermitMs;
  if (!Given.SameDataCentre_)
    Cost += FarMs;
  Cost += FailureMs * Given.FailureShare_;
  Cost += toSeconds(Given.Lateness_) * 1000;
  return Cost;
}

/// The number of running requests for which an adapter gets one more home.
/// Where an engine has few adapter slots for its request slots, a lower number
/// would let popular adapters occupy the adapter slots of all others.
static int usesPerHome(const std::vector<DispatchCandidate> &Candidates) {
  int Least = LeastUsesPerHome;
  for (const DispatchCandidate &Given : Candidates)
    Least = std::max(Least, Given.Slots_ / std::max(1, Given.Places_));
  return Least;
}

std::size_t missingHome(const std::vector<DispatchCandidate> &Candidates,
                        int Uses) {
  auto Homes = std::min<std::size_t>(
      Candidates.size(),
      1 + static_cast<std::size_t>(Uses / usesPerHome(Candidates)));
  std::size_t Have = 0;
  std::size_t First = Candidates.size();
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const DispatchCandidate &Given = Candidates[Index];
    bool IsThere = Given.Readiness_ == AdapterReadiness::Resident ||
                   Given.Readiness_ == AdapterReadiness::Loading;
    if (IsThere)
      ++Have;
    bool MayLoad = Given.Readiness_ == AdapterReadiness::Absent &&
                   Given.HasOwner_ && Given.InTransit_ < MostInTransit &&
                   Given.PlacesBusy_ < Given.Places_ && !Given.Limited_;
    bool IsBetter = First == Candidates.size() ||
                    Given.HomeRank_ < Candidates[First].HomeRank_;
    if (MayLoad && IsBetter)
      First = Index;
  }
  // With no home yet, the request triggers the load itself and waits for it.
  return Have > 0 && Have < Homes ? First : Candidates.size();
}

std::size_t cheapest(const std::vector<DispatchCandidate> &Candidates,
                     const RequestShape &Shape) {
  std::size_t Best = Candidates.size();
  double BestCost = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const DispatchCandidate &Given = Candidates[Index];
    if (!canRun(Given))
      continue;
    double Cost = dispatchCost(Given, Shape);
    if (Best == Candidates.size() || Cost < BestCost) {
      Best = Index;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace anvil
