#include "Loading/LoadPatience.h"

#include <algorithm>

namespace anvil {

/// The pause after the first send to an engine that lacked the adapter, and the
/// factor by which each further one is longer.
static constexpr Duration FirstPause = std::chrono::milliseconds(50);
static constexpr int PauseGrowth = 3;

/// The fraction of the queued loads that precede any request. Others may be
/// given up or be less urgent, so the end of the whole queue isn't certain.
static constexpr double CertainQueueShare = 0.5;

double transitFactor(const StoreQueue &Queue) {
  return (Queue.InTransit_ + 1) / std::max(1.0, Queue.Limit_);
}

double loadFactor(const StoreQueue &Queue) {
  double Ahead =
      std::max(0.0, Queue.InTransit_ + Queue.Queued_ + 1 - Queue.Limit_);
  return 1 + Ahead / std::max(1.0, Queue.Limit_);
}

Duration expectedLoadEnd(const StoreQueue &Queue) {
  return std::chrono::duration_cast<Duration>(Queue.Load_ * loadFactor(Queue));
}

PatienceDecision decidePatience(const LoadOutlook &Outlook) {
  Duration Expected =
      Outlook.ReadyIn_.value_or(expectedLoadEnd(Outlook.Queue_));
  Duration Earliest = Expected;
  if (!Outlook.IsOrdered_) {
    Duration Load = std::min(Outlook.Queue_.Load_, Expected);
    Earliest = Load + std::chrono::duration_cast<Duration>((Expected - Load) *
                                                           CertainQueueShare);
  }
  bool IsTooLate = Earliest + Outlook.ServeTime_ >= Outlook.TimeLeft_;
  return {IsTooLate ? PatienceAction::Refuse : PatienceAction::Wait, Expected};
}

std::optional<Duration> MissingAdapterPauses::recordMissing(Duration TimeLeft) {
  Duration Pause = FirstPause;
  for (int Index = 0; Index < Count_; ++Index)
    Pause *= PauseGrowth;
  ++Count_;
  if (Count_ >= MaxSends || Pause >= TimeLeft)
    return std::nullopt;
  return Pause;
}

} // namespace anvil
