#include "Balancing/SpareCapacityChoice.h"

#include <algorithm>

namespace anvil {

/// The cost beyond the best target's, load excluded, from which a target is
/// left out, ms.
static constexpr double MaxExcessCostMs = 100;

/// The minimum share of its slots with which a target counts: a full one may
/// have free slots before its load is reported again.
static constexpr double MinSpareShare = 0.2;

/// The cost of a target if nothing ran there.
static double idleCost(const DispatchCandidate &Candidate,
                       const RequestShape &Shape) {
  DispatchCandidate Idle = Candidate;
  Idle.Running_ = 0;
  return dispatchCost(Idle, Shape);
}

/// The weight of a target: its free slots, each by the requests that it serves
/// in the same time.
static double spareWeight(const DispatchCandidate &Candidate) {
  double Slots = Candidate.Slots_;
  return std::max(Slots - Candidate.Running_, Slots * MinSpareShare) /
         Candidate.SpeedFactor_;
}

static bool needsPermit(const DispatchCandidate &Candidate) {
  return Candidate.Cold_ || Candidate.Limited_;
}

std::size_t
selectBySpareCapacity(const std::vector<DispatchCandidate> &Candidates,
                      const RequestShape &Shape, double Random) {
  std::vector<std::pair<std::size_t, double>> Costs;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index)
    if (canRun(Candidates[Index]))
      Costs.emplace_back(Index, idleCost(Candidates[Index], Shape));
  if (Costs.empty())
    return Candidates.size();
  double MaxCost =
      std::ranges::min(Costs, {}, &std::pair<std::size_t, double>::second)
          .second +
      MaxExcessCostMs;
  std::erase_if(Costs,
                [&](const auto &Entry) { return Entry.second > MaxCost; });
  // Permits are too few for a share by free slots.
  bool AllNeedPermit = std::ranges::all_of(Costs, [&](const auto &Entry) {
    return needsPermit(Candidates[Entry.first]);
  });
  if (!AllNeedPermit)
    std::erase_if(Costs, [&](const auto &Entry) {
      return needsPermit(Candidates[Entry.first]);
    });
  double Total = 0;
  for (const auto &[Index, Cost] : Costs)
    Total += spareWeight(Candidates[Index]);
  double Drawn = Random * Total;
  for (const auto &[Index, Cost] : Costs) {
    Drawn -= spareWeight(Candidates[Index]);
    if (Drawn < 0)
      return Index;
  }
  return Costs.back().first;
}

} // namespace anvil
