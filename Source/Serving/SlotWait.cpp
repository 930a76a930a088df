#include "Serving/SlotWait.h"

#include <algorithm>

namespace anvil {

/// The weight of a new run in the mean, so that it follows a change of demand
/// within some tens of requests.
static constexpr double RunWeight = 1.0 / 16;

/// How long a stated queue is used. Targets state it only in their replies.
static constexpr Duration QueueValidity = std::chrono::milliseconds(500);

/// How long a request is held back at a time: other targets may free slots
/// earlier than expected.
static constexpr Duration MinHold = std::chrono::milliseconds(20);
static constexpr Duration MaxHold = std::chrono::milliseconds(100);

void SlotWait::recordRun(const std::string &Service, Duration Took) {
  auto [Mean, IsFirst] = MeanRuns_.try_emplace(Service, Took);
  if (!IsFirst)
    Mean->second +=
        std::chrono::duration_cast<Duration>((Took - Mean->second) * RunWeight);
}

void SlotWait::recordQueue(const std::string &Target, int Waiting,
                           TimePoint Now) {
  std::erase_if(Queues_, [&](const auto &Entry) {
    return Entry.second.At_ + QueueValidity < Now;
  });
  Queues_[Target] = {Waiting, Now};
}

Duration SlotWait::meanRun(const std::string &Service) const {
  auto Found = MeanRuns_.find(Service);
  return Found == MeanRuns_.end() ? Duration::zero() : Found->second;
}

Duration SlotWait::expectedWait(const std::string &Target, int Running,
                                int Slots, Duration RunTime,
                                TimePoint Now) const {
  int Ahead = std::max(0, Running - Slots + 1);
  auto Stated = Queues_.find(Target);
  if (Stated != Queues_.end() && Stated->second.At_ + QueueValidity >= Now)
    Ahead = std::max(Ahead, Stated->second.Waiting_);
  return RunTime * Ahead / std::max(1, Slots);
}

Duration holdBeforeSend(Duration ExpectedWait, Duration MaxWait) {
  if (ExpectedWait <= MaxWait)
    return Duration::zero();
  return std::clamp(ExpectedWait - MaxWait, MinHold, MaxHold);
}

} // namespace anvil
