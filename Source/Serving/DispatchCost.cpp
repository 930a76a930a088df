#include "Serving/DispatchCost.h"

#include <algorithm>
#include <utility>

namespace anvil {

/// The delay of the first byte for each running request, ms: its share of a
/// batch step.
static constexpr double RunningRequestMs = 2;

/// The weight of the prefill backlog. Above 1, since it delays both the first
/// byte and the running streams.
static constexpr double PrefillWeight = 1.5;

/// The penalty for each stream that a prompt stalls, ms. A late stream loses
/// two thirds of its value, while a large prompt that waits for its adapter is
/// mostly still on time.
static constexpr double StalledStreamMs = 150;

/// The minimum number of running requests for each home of an adapter: a fifth
/// of a usual engine's load.
static constexpr int MinUsesPerHome = 4;

/// The delay for each request beyond the slots, ms: the share of a mean run
/// until a slot is freed.
static constexpr double WaitingRequestMs = 80;

/// The penalty for a target whose memory is full, ms: it preempts running
/// requests.
static constexpr double MemoryFullMs = 600;

/// The penalty for a target with no free slot, ms; `WaitingRequestMs` is added
/// for each waiting request.
static constexpr double SlotsFullMs = 250;

/// The delay that a load from the weight store causes to other loads, ms: it
/// occupies one of few transit slots for the time of a load.
static constexpr double StoreContentionMs = 250;

/// The penalty for each rank away from the adapter's home, ms. Reloads at the
/// home take a tenth, and its cache holds the shared prompts.
static constexpr double HomeRankMs = 15;

/// The maximum number of adapters in transit to one target; from the platform's
/// documentation.
static constexpr int MaxInTransit = 4;

/// The penalty for an engine that has left requests for adapters unanswered,
/// ms: further requests may stay unanswered for as long.
static constexpr double UnansweredRequestMs = 400;

/// The round trip to another data centre, ms.
static constexpr double RemoteDataCentreMs = 2;

/// The penalty for a failure, ms: about the wait for one more try.
static constexpr double FailureMs = 1500;

/// The penalty for using a permit of a target with a limit, ms, so that permits
/// are left to requests that no other target serves as soon; and for loading an
/// adapter there, ms, which is the last resort.
static constexpr double PermitMs = 50;
static constexpr double LimitedTargetLoadMs = 1000;

/// The penalty for a load that evicts another adapter, ms.
static constexpr double EvictionMs = 20;

/// The penalty when no adapter can be evicted and the load waits until one is
/// no longer used, ms: about a mean run.
static constexpr double NoEvictionCandidateMs = 900;

static bool isMemoryFull(const DispatchCandidate &Candidate,
                         const RequestShape &Shape) {
  return Candidate.KvTokens_ > 0 &&
         Candidate.Tokens_ + Shape.PromptTokens_ + Shape.OutputTokens_ >
             Candidate.KvTokens_;
}

bool lacksCapacity(const DispatchCandidate &Candidate,
                   const RequestShape &Shape) {
  return Candidate.Running_ >= Candidate.Slots_ ||
         isMemoryFull(Candidate, Shape);
}

bool canRun(const DispatchCandidate &Candidate) {
  bool CannotBeLoaded =
      Candidate.Readiness_ == AdapterReadiness::Absent && !Candidate.HasOwner_;
  return Candidate.Readiness_ != AdapterReadiness::Impossible &&
         !CannotBeLoaded;
}

double dispatchCost(const DispatchCandidate &Candidate,
                    const RequestShape &Shape) {
  double Factor = Candidate.SpeedFactor_;
  // Work on a slow target is shared out by its factor, the request included.
  double Cost = RunningRequestMs * (Factor * (Candidate.Running_ + 1) - 1) +
                PrefillWeight * toSeconds(Candidate.Prefill_) * 1000 +
                (Factor - 1) * toSeconds(Candidate.UsualServiceTime_) * 1000;
  if (Candidate.Running_ >= Candidate.Slots_)
    Cost += SlotsFullMs + WaitingRequestMs * Factor *
                              (Candidate.Running_ - Candidate.Slots_ + 1);
  if (isMemoryFull(Candidate, Shape))
    Cost += MemoryFullMs;
  if (Shape.StallsStreams_)
    Cost += StalledStreamMs * Candidate.Running_;
  switch (Candidate.Readiness_) {
  case AdapterReadiness::NotNeeded:
  case AdapterReadiness::Resident:
    break;
  case AdapterReadiness::Loading:
    Cost += toSeconds(Candidate.ReadyIn_) * 1000;
    break;
  case AdapterReadiness::Absent:
    Cost += Candidate.Warm_ ? toSeconds(Candidate.WarmLoadTime_) * 1000
                            : toSeconds(Candidate.LoadTime_) * 1000 *
                                      Candidate.LoadFactor_ +
                                  StoreContentionMs;
    Cost += HomeRankMs * static_cast<double>(Candidate.HomeRank_);
    if (Candidate.Limited_)
      Cost += LimitedTargetLoadMs;
    if (Candidate.InTransit_ >= MaxInTransit)
      Cost += toSeconds(Candidate.LoadTime_) * 1000;
    if (Candidate.OwnerUnresponsive_)
      Cost += UnansweredRequestMs;
    if (Candidate.PinnedAdapterSlots_ >= Candidate.AdapterCapacity_)
      Cost += NoEvictionCandidateMs;
    else if (Candidate.UsedAdapterSlots_ >= Candidate.AdapterCapacity_)
      Cost += EvictionMs;
    break;
  case AdapterReadiness::Impossible:
    break;
  }
  // Only responses to requests show that a limit was withdrawn, so a stale
  // limit has no penalty.
  if ((Candidate.Limited_ && !Candidate.LimitIsStale_) || Candidate.Cold_)
    Cost += PermitMs;
  if (!Candidate.SameDataCentre_)
    Cost += RemoteDataCentreMs;
  Cost += FailureMs * Candidate.FailureShare_;
  Cost += toSeconds(Candidate.ExcessLatency_) * 1000;
  return Cost;
}

/// The number of running requests for which an adapter gets one more home.
/// Where an engine has few adapter slots for its request slots, a lower number
/// would let popular adapters occupy the adapter slots of all others.
static int usesPerHome(const std::vector<DispatchCandidate> &Candidates) {
  int Uses = MinUsesPerHome;
  for (const DispatchCandidate &Candidate : Candidates)
    Uses = std::max(Uses,
                    Candidate.Slots_ / std::max(1, Candidate.AdapterCapacity_));
  return Uses;
}

std::size_t nextHomeToLoad(const std::vector<DispatchCandidate> &Candidates,
                           int Uses) {
  auto WantedHomes = std::min<std::size_t>(
      Candidates.size(),
      1 + static_cast<std::size_t>(Uses / usesPerHome(Candidates)));
  std::size_t Present = 0;
  std::size_t Next = Candidates.size();
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const DispatchCandidate &Candidate = Candidates[Index];
    bool IsPresent = Candidate.Readiness_ == AdapterReadiness::Resident ||
                     Candidate.Readiness_ == AdapterReadiness::Loading;
    if (IsPresent)
      ++Present;
    bool CanLoad = Candidate.Readiness_ == AdapterReadiness::Absent &&
                   Candidate.HasOwner_ && Candidate.InTransit_ < MaxInTransit &&
                   Candidate.PinnedAdapterSlots_ < Candidate.AdapterCapacity_ &&
                   !Candidate.Limited_;
    // A further home is needed where the adapter has many requests, so slow
    // engines come last.
    bool IsSlow = Candidate.SpeedFactor_ > 1;
    bool IsBetter = Next == Candidates.size() ||
                    std::pair(IsSlow, Candidate.HomeRank_) <
                        std::pair(Candidates[Next].SpeedFactor_ > 1,
                                  Candidates[Next].HomeRank_);
    if (CanLoad && IsBetter)
      Next = Index;
  }
  // With no home yet, the request triggers the load itself and waits for it.
  return Present > 0 && Present < WantedHomes ? Next : Candidates.size();
}

std::size_t selectCheapest(const std::vector<DispatchCandidate> &Candidates,
                           const RequestShape &Shape) {
  std::size_t Best = Candidates.size();
  double BestCost = 0;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const DispatchCandidate &Candidate = Candidates[Index];
    if (!canRun(Candidate))
      continue;
    double Cost = dispatchCost(Candidate, Shape);
    if (Best == Candidates.size() || Cost < BestCost) {
      Best = Index;
      BestCost = Cost;
    }
  }
  return Best;
}

} // namespace anvil
