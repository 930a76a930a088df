#include "Serving/StoreLoadLimit.h"

#include <algorithm>

namespace anvil {

/// The initial limit for each engine. The limit is never cut below a minimum
/// for each engine, nor below an absolute minimum.
static constexpr double InitialLimitPerEngine = 0.44;
static constexpr double MinLimitPerEngine = 0.1;
static constexpr double MinLimit = 4;

/// The maximum number of adapters in transit to one engine; from the platform's
/// documentation.
static constexpr double MaxLimitPerEngine = 4;

/// The fraction of the limit that must be in use for a load to count, if the
/// load was on time and if it was late.
static constexpr double MinUseForOnTime = 0.7;
static constexpr double MinUseForLate = 0.5;

/// The minimum number of loads and the minimum time for an adjustment.
static constexpr std::uint64_t MinLoadsForAdjustment = 4;
static constexpr Duration AdjustmentPeriod = std::chrono::milliseconds(300);

/// The share of late loads up to which the limit grows, and from which it is
/// cut. Some loads are late for other reasons although the store is not
/// overloaded.
static constexpr double GrowthLateShare = 0.1;
static constexpr double CutLateShare = 0.3;

/// The factor by which the limit grows, and the fraction of the share of late
/// loads by which it is cut.
static constexpr double GrowthFactor = 1.15;
static constexpr double CutFactor = 0.4;

/// The multiple of the adapters in transit up to which the limit may grow
/// without harm.
static constexpr double MaxLead = 1.3;

/// The pause after a cut, since loads that started before it still end late.
static constexpr Duration CutPause = std::chrono::milliseconds(600);

double StoreLoadLimit::minLimit() const {
  return std::max(MinLimit, MinLimitPerEngine * Engines_);
}

double StoreLoadLimit::maxLimit() const {
  return std::max(MinInitialLimit, MaxLimitPerEngine * Engines_);
}

void StoreLoadLimit::setEngines(std::size_t Count) {
  auto Engines = static_cast<double>(Count);
  if (Engines == Engines_)
    return;
  double PreviousInitial =
      std::max(MinInitialLimit, InitialLimitPerEngine * Engines_);
  double Initial = std::max(MinInitialLimit, InitialLimitPerEngine * Engines);
  bool IsInitial = Limit_ == PreviousInitial;
  Engines_ = Engines;
  Limit_ = IsInitial ? Initial : std::clamp(Limit_, minLimit(), maxLimit());
}

void StoreLoadLimit::recordLoads(const LoadCounts &Ended, double InTransit,
                                 TimePoint Now) {
  if (Now < IgnoreUntil_)
    return;
  if (InTransit >= MinUseForOnTime * Limit_)
    RelevantLoads_.OnTime_ += Ended.OnTime_;
  if (InTransit >= MinUseForLate * Limit_)
    RelevantLoads_.Late_ += Ended.Late_;
  std::uint64_t Count = RelevantLoads_.OnTime_ + RelevantLoads_.Late_;
  if (Count < MinLoadsForAdjustment || Now < NextAdjustmentAt_)
    return;
  double LateShare =
      static_cast<double>(RelevantLoads_.Late_) / static_cast<double>(Count);
  if (LateShare >= CutLateShare) {
    double KeptShare = 1 - CutFactor * LateShare;
    Limit_ = std::max(minLimit(), std::min(Limit_, InTransit) * KeptShare);
    IgnoreUntil_ = Now + CutPause;
  } else if (LateShare <= GrowthLateShare) {
    double Bound = std::max(Limit_, MaxLead * InTransit + 1);
    Limit_ = std::min({Limit_ * GrowthFactor, Bound, maxLimit()});
  }
  RelevantLoads_ = {};
  NextAdjustmentAt_ = Now + AdjustmentPeriod;
}

} // namespace anvil
