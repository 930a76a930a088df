#include "Admission/TokenBucket.h"

#include <algorithm>

namespace anvil {

TokenBucket::TokenBucket(double RatePerSecond, double Capacity, double Balance,
                         TimePoint Now)
    : RatePerSecond_(RatePerSecond), Capacity_(Capacity),
      Balance_(std::min(Balance, Capacity)), RefilledAt_(Now) {}

void TokenBucket::refill(TimePoint Now) {
  if (Now <= RefilledAt_)
    return;
  Balance_ += RatePerSecond_ * toSeconds(Now - RefilledAt_);
  Balance_ = std::min(Balance_, Capacity_);
  RefilledAt_ = Now;
}

bool TokenBucket::take(double Tokens, TimePoint Now) {
  refill(Now);
  if (Tokens > Balance_)
    return false;
  Balance_ -= Tokens;
  return true;
}

void TokenBucket::charge(double Tokens, TimePoint Now) {
  refill(Now);
  Balance_ -= Tokens;
}

void TokenBucket::returnTokens(double Tokens, TimePoint Now) {
  refill(Now);
  Balance_ = std::min(Balance_ + Tokens, Capacity_);
}

Duration TokenBucket::waitFor(double Tokens, TimePoint Now) {
  refill(Now);
  if (Tokens <= Balance_)
    return Duration::zero();
  if (Tokens > Capacity_ || RatePerSecond_ <= 0)
    return Duration::max();
  double Seconds = (Tokens - Balance_) / RatePerSecond_;
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(Seconds));
}

void TokenBucket::updateLimits(double RatePerSecond, double Capacity,
                               TimePoint Now) {
  refill(Now);
  RatePerSecond_ = RatePerSecond;
  Capacity_ = Capacity;
  Balance_ = std::min(Balance_, Capacity_);
}

double TokenBucket::balance(TimePoint Now) {
  refill(Now);
  return Balance_;
}

} // namespace anvil
