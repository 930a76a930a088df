#include "Serving/StoreCapacity.h"

#include <algorithm>

namespace anvil {

/// The initial limit for each engine; and the value for each engine, and the
/// absolute value, below which the limit is never cut.
static constexpr double StartPerEngine = 0.44;
static constexpr double LeastPerEngine = 0.1;
static constexpr double LeastLimit = 4;

/// The maximum number of adapters in transit to one engine; from the platform's
/// documentation.
static constexpr double MostPerEngine = 4;

/// The fraction of the limit that must be in use for a load to count: one that
/// was on time, and one that was late.
static constexpr double UseThatProves = 0.7;
static constexpr double UseThatBlames = 0.5;

/// The minimum number of loads and the minimum time for an adjustment.
static constexpr std::uint64_t LoadsToJudge = 4;
static constexpr Duration JudgePeriod = std::chrono::milliseconds(300);

/// The share of late loads up to which the limit grows, and from which it is
/// cut. Some loads are late for other reasons although the store is not
/// overloaded.
static constexpr double CalmShare = 0.1;
static constexpr double BusyShare = 0.3;

/// The factor by which the limit grows, and the fraction of the share of late
/// loads by which it is cut.
static constexpr double Growth = 1.15;
static constexpr double CutPart = 0.4;

/// How far the limit may exceed the number of adapters in transit without harm.
static constexpr double MostLead = 1.3;

/// The pause after a cut, since loads that started before it still end late.
static constexpr Duration CutPause = std::chrono::milliseconds(600);

double StoreCapacity::least() const {
  return std::max(LeastLimit, LeastPerEngine * Engines_);
}

double StoreCapacity::most() const {
  return std::max(LeastStart, MostPerEngine * Engines_);
}

void StoreCapacity::setEngines(std::size_t Count) {
  auto Engines = static_cast<double>(Count);
  if (Engines == Engines_)
    return;
  double StartBefore = std::max(LeastStart, StartPerEngine * Engines_);
  double Start = std::max(LeastStart, StartPerEngine * Engines);
  bool IsUnlearned = Limit_ == StartBefore;
  Engines_ = Engines;
  Limit_ = IsUnlearned ? Start : std::clamp(Limit_, least(), most());
}

void StoreCapacity::noteLoads(const LoadCounts &Ended, double InTransit,
                              TimePoint Now) {
  if (Now < IgnoreUntil_)
    return;
  if (InTransit >= UseThatProves * Limit_)
    Seen_.OnTime_ += Ended.OnTime_;
  if (InTransit >= UseThatBlames * Limit_)
    Seen_.Late_ += Ended.Late_;
  std::uint64_t Count = Seen_.OnTime_ + Seen_.Late_;
  if (Count < LoadsToJudge || Now < NextJudgementAt_)
    return;
  double LateShare =
      static_cast<double>(Seen_.Late_) / static_cast<double>(Count);
  if (LateShare >= BusyShare) {
    double Kept = 1 - CutPart * LateShare;
    Limit_ = std::max(least(), std::min(Limit_, InTransit) * Kept);
    IgnoreUntil_ = Now + CutPause;
  } else if (LateShare <= CalmShare) {
    double Reach = std::max(Limit_, MostLead * InTransit + 1);
    Limit_ = std::min({Limit_ * Growth, Reach, most()});
  }
  Seen_ = {};
  NextJudgementAt_ = Now + JudgePeriod;
}

} // namespace anvil
