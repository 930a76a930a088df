#include "Serving/DispatchBaseline.h"

namespace anvil {

std::size_t baseline(const std::vector<DispatchCandidate> &Candidates,
                     DispatchPolicy Policy, double Random) {
  std::vector<std::size_t> Able;
  for (std::size_t Index = 0; Index < Candidates.size(); ++Index) {
    const DispatchCandidate &Given = Candidates[Index];
    if (canRun(Given))
      Able.push_back(Index);
  }
  if (Able.empty())
    return Candidates.size();
  if (Policy == DispatchPolicy::Random)
    return Able[static_cast<std::size_t>(Random *
                                         static_cast<double>(Able.size()))];
  std::size_t Best = Able.front();
  for (std::size_t Index : Able) {
    const DispatchCandidate &Given = Candidates[Index];
    const DispatchCandidate &Known = Candidates[Best];
    bool IsBetter = Policy == DispatchPolicy::Home
                        ? Given.HomeRank_ < Known.HomeRank_
                        : Given.Running_ < Known.Running_;
    if (IsBetter)
      Best = Index;
  }
  return Best;
}

} // namespace anvil
