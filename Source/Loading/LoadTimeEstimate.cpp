#include "Loading/LoadTimeEstimate.h"

#include <algorithm>

namespace anvil {

/// The range of an estimate, as factors of its initial value.
static constexpr double MinFactor = 0.2;
static constexpr double MaxFactor = 20;

/// The factor between the age at which an adapter was missing and the new
/// estimate, and the maximum factor of one rise.
static constexpr double RiseFactor = 1.2;
static constexpr double MaxRiseFactor = 1.5;

/// The fraction of the limit of loads in transit up to which the store is
/// certainly not overloaded.
static constexpr double RelaxedTransitShare = 0.5;

/// The factor by which the estimate may exceed the proven time when the store
/// may be overloaded. Loads that are later count against the store.
static constexpr double MaxUnprovenFactor = 1.25;

/// A load that was on time counts for a decrease if its age exceeded the
/// estimate by at most this factor.
static constexpr double OnTimeFactor = 1.2;

/// How long after a rise the estimate doesn't fall, and the fractions by which
/// it then falls for each expected load time; each is twice the previous one.
static constexpr Duration HoldTime = std::chrono::seconds(5);
static constexpr double MinDecrease = 0.04;
static constexpr double MaxDecrease = 0.3;

static Duration scaled(Duration Of, double Factor) {
  return std::chrono::duration_cast<Duration>(Of * Factor);
}

LateCause LoadTimeEstimate::recordOutcome(const LoadOutcome &Outcome,
                                          TimePoint Now) {
  Estimate &Found = of(Outcome.Source_);
  // Beyond the limit, loads are expected to take longer in proportion.
  Duration Age = scaled(Outcome.Age_, 1 / std::max(1.0, Outcome.TransitShare_));
  if (!Outcome.WasMissing_) {
    if (Age <= scaled(Found.Expected_, OnTimeFactor))
      decrease(Found, Now);
    return LateCause::NotLate;
  }
  bool IsRelaxed = Outcome.Source_ == LoadSource::Engine ||
                   Outcome.IsLimitMinimal_ ||
                   Outcome.TransitShare_ <= RelaxedTransitShare;
  Duration Longest =
      IsRelaxed ? Duration::max() : scaled(Found.Proven_, MaxUnprovenFactor);
  LateCause Cause =
      Outcome.Age_ < Longest ? LateCause::Estimate : LateCause::Store;
  // Loads that were ordered before the estimate rose are still missing at the
  // earlier one.
  if (Age >= Found.Expected_) {
    Duration Risen = std::min(scaled(Age, RiseFactor),
                              scaled(Found.Expected_, MaxRiseFactor));
    rise(Found, std::min(Risen, Longest), Now);
    if (IsRelaxed)
      Found.Proven_ = std::max(Found.Proven_, Found.Expected_);
  }
  return Cause;
}

void LoadTimeEstimate::recordPeerRise(LoadSource Source, Duration Expected,
                                      TimePoint Now) {
  Estimate &Found = of(Source);
  rise(Found, std::min(Expected, scaled(Found.Expected_, MaxRiseFactor)), Now);
}

void LoadTimeEstimate::rise(Estimate &Of, Duration Expected, TimePoint Now) {
  Of.Expected_ = std::clamp(std::max(Of.Expected_, Expected),
                            scaled(Of.Initial_, MinFactor),
                            scaled(Of.Initial_, MaxFactor));
  Of.Decrease_ = MinDecrease;
  Of.NextDecreaseAt_ = Now + HoldTime;
}

void LoadTimeEstimate::decrease(Estimate &Of, TimePoint Now) {
  if (Of.NextDecreaseAt_ == TimePoint{})
    Of.NextDecreaseAt_ = Now + HoldTime;
  if (Now < Of.NextDecreaseAt_)
    return;
  Of.Decrease_ = std::clamp(Of.Decrease_, MinDecrease, MaxDecrease);
  Of.Expected_ = std::max(scaled(Of.Expected_, 1 - Of.Decrease_),
                          scaled(Of.Initial_, MinFactor));
  Of.Proven_ = std::min(Of.Proven_, Of.Expected_);
  Of.Decrease_ = 2 * Of.Decrease_;
  // The effect of a decrease shows only when the next loads end.
  Of.NextDecreaseAt_ = Now + Of.Expected_;
}

} // namespace anvil
