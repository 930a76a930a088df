#include "Loading/LoadTimeEstimate.h"

#include <algorithm>

namespace anvil {

/// The range of an estimate, as factors of its initial value.
static constexpr double MinFactor = 0.2;
static constexpr double MaxFactor = 6;

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

/// A load that was ready at an age below this fraction of the estimate shows
/// that the estimate is too long. One of this number of loads is expected early
/// while the estimate is above its settled value.
static constexpr double EarlyShare = 0.75;
static constexpr std::uint64_t LoadsPerEarlyOne = 3;

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
    bool IsSinceMiss = Now - Outcome.Age_ >= Found.MissedAt_;
    if (IsSinceMiss && Age < scaled(Found.Expected_, EarlyShare) &&
        Found.Settled_ < Found.Expected_) {
      Found.Expected_ = std::max(scaled(Age, RiseFactor), Found.Settled_);
      return LateCause::Early;
    }
    if (Age <= scaled(Found.Expected_, OnTimeFactor))
      decrease(Found, Now);
    return LateCause::NotLate;
  }
  Found.MissedAt_ = Now;
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
  Found.MissedAt_ = Now;
  if (Expected > Found.Expected_)
    rise(Found, std::min(Expected, scaled(Found.Expected_, MaxRiseFactor)),
         Now);
}

void LoadTimeEstimate::recordPeerFall(Duration Expected) {
  if (Expected < Store_.Expected_)
    Store_.Expected_ =
        std::max(Expected, std::min(Store_.Settled_, Store_.Expected_));
}

Duration LoadTimeEstimate::expectedForLoad(LoadSource Source,
                                           std::uint64_t Number) const {
  const Estimate &Found = of(Source);
  bool IsEarlyOne = Number % LoadsPerEarlyOne == 0 &&
                    Found.Settled_ < scaled(Found.Expected_, EarlyShare);
  return IsEarlyOne ? Found.Settled_ : Found.Expected_;
}

void LoadTimeEstimate::recordPeerOnTime(Duration Expected, TimePoint Now) {
  if (Expected <= scaled(Store_.Expected_, OnTimeFactor))
    decrease(Store_, Now);
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
  Of.Settled_ = Of.Expected_;
  Of.Decrease_ = std::clamp(Of.Decrease_, MinDecrease, MaxDecrease);
  Of.Expected_ = std::max(scaled(Of.Expected_, 1 - Of.Decrease_),
                          scaled(Of.Initial_, MinFactor));
  Of.Proven_ = std::min(Of.Proven_, Of.Expected_);
  Of.Decrease_ = 2 * Of.Decrease_;
  // The effect of a decrease shows only when the next loads end.
  Of.NextDecreaseAt_ = Now + Of.Expected_;
}

} // namespace anvil
