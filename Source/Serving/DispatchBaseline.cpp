#include "Serving/DispatchBaseline.h"

namespace anvil {

std::size_t selectByPolicy(const std::vector<DispatchCandidate> &Candidates,
                           DispatchPolicy Policy, double Random) {
  std::vector<std::size_t> Eligible;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const DispatchCandidate &Candidate = Candidates[Index];
    if (canRun(Candidate))
      Eligible.push_back(Index);
  }
  if (Eligible.empty())
    return Candidates.size();
  if (Policy == DispatchPolicy::Random)
    return Eligible[static_cast<std::size_t>(
        Random * static_cast<double>(Eligible.size()))];
  std::size_t Best = Eligible.front();
  for (std::size_t Index : Eligible) {
    const DispatchCandidate &Candidate = Candidates[Index];
    const DispatchCandidate &BestCandidate = Candidates[Best];
    bool IsBetter = Policy == DispatchPolicy::Home
                        ? Candidate.HomeRank_ < BestCandidate.HomeRank_
                        : Candidate.Running_ < BestCandidate.Running_;
    if (IsBetter)
      Best = Index;
  }
  return Best;
}

} // namespace anvil
