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

static double spareSlots(const DispatchCandidate &Candidate) {
  double Slots = Candidate.Slots_;
  return std::max(Slots - Candidate.Running_, Slots * MinSpareShare);
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
  double Total = 0;
  for (const auto &[Index, Cost] : Costs)
    Total += spareSlots(Candidates[Index]);
  double Drawn = Random * Total;
  for (const auto &[Index, Cost] : Costs) {
    Drawn -= spareSlots(Candidates[Index]);
    if (Drawn < 0)
      return Index;
  }
  return Costs.back().first;
}

} // namespace anvil
