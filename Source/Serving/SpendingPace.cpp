#include "Serving/SpendingPace.h"

#include <algorithm>

namespace anvil {

/// For how long the pace applies after a refusal.
static constexpr Duration PaceTime = std::chrono::seconds(1);

/// How much faster than its part of the rate a VM spends while the shared
/// bucket is full.
static constexpr double MaxPaceIncrease = 2;

void SpendingPace::recordOwn(double Tokens, TimePoint Now) {
  Own_.add(Tokens, Now);
  All_.add(Tokens, Now);
}

void SpendingPace::recordOthers(double Tokens, TimePoint Now) {
  All_.add(Tokens, Now);
}

void SpendingPace::recordRefusal(TimePoint Now) {
  if (!applies(Now)) {
    Available_ = 0;
    UpdatedAt_ = Now;
  }
  AppliesUntil_ = Now + PaceTime;
}

double SpendingPace::rate(const SharedBucket &Shared) const {
  if (Shared.Balance_ <= 0)
    return 0;
  double Part = 1 / static_cast<double>(std::max<std::size_t>(1, Shared.Vms_));
  // Callers of the customer may reach few VMs.
  if (All_.last() > 0)
    Part = std::clamp(Own_.at(All_.lastAt()) / All_.last(), Part, 1.0);
  double Fill = std::clamp(Shared.Balance_ / Shared.Capacity_, 0.0, 1.0);
  return Part * Shared.RatePerSecond_ * (1 + MaxPaceIncrease * Fill);
}

bool SpendingPace::take(double Tokens, const SharedBucket &Shared,
                        TimePoint Now) {
  double Earned = std::max(0.0, toSeconds(Now - UpdatedAt_)) * rate(Shared);
  UpdatedAt_ = std::max(UpdatedAt_, Now);
  // No more than this request is saved up, or all VMs would spend their savings
  // at once.
  Available_ = std::min(Available_ + Earned, std::max(Available_, Tokens));
  if (Available_ < Tokens)
    return false;
  Available_ -= Tokens;
  return true;
}

void SpendingPace::giveBack(double Tokens) { Available_ += Tokens; }

Duration SpendingPace::waitFor(double Tokens,
                               const SharedBucket &Shared) const {
  double Missing = Tokens - Available_;
  if (Missing <= 0)
    return Duration::zero();
  // While the balance is negative, its recovery is what the request waits for.
  SharedBucket Positive = Shared;
  Positive.Balance_ = std::max(Shared.Balance_, 1.0);
  double Rate = rate(Positive);
  if (Rate <= 0)
    return Duration::max();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Missing / Rate));
}

} // namespace anvil
