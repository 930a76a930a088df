#include "Serving/ReadRotation.h"

#include "Membership/Rendezvous.h"

#include <algorithm>

namespace anvil {

std::size_t ReadRotation::rankFor(std::string_view Topic,
                                  const std::string &Self,
                                  const std::vector<std::string> &Others) {
  std::uint64_t Own = rendezvousScore(Topic, Self);
  return static_cast<std::size_t>(
      std::ranges::count_if(Others, [&](const std::string &Other) {
        std::uint64_t Score = rendezvousScore(Topic, Other);
        return Score > Own || (Score == Own && Other < Self);
      }));
}

Duration ReadRotation::maxSnapshotAge(std::size_t Rank) const {
  if (Rank == 0)
    return Options_.Period_;
  auto Steps = static_cast<int>(std::min(Rank - 1, Options_.MaxSteps_));
  return Options_.Period_ + Options_.TakeoverDelay_ + Options_.Step_ * Steps;
}

} // namespace anvil
