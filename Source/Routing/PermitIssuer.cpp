#include "Routing/PermitIssuer.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The seconds of a limit that may accumulate while there are no requests, in
/// addition to one request.
static constexpr double BurstSeconds = 0.1;

/// How long the bucket of a target is kept after the last request for it.
static constexpr Duration BucketRetention = std::chrono::seconds(60);

/// The users' rule for cold targets: the requests of one second may be this
/// many times the rate, and this many more.
static constexpr double RuleFactor = 1.5;
static constexpr double RuleSlack = 5;

/// The age in seconds that a permit may reach before its request is sent.
static constexpr double PermitAgeSeconds = 0.2;

/// The permits for a cold target that all issuers together may have saved up:
/// what the rule leaves beside those of one second and of the permits' age.
static double coldBurst(double Limit) {
  return RuleSlack + (RuleFactor - 1 - PermitAgeSeconds) * Limit;
}

std::optional<PermitQuery> permitQuery(const std::string &Target,
                                       std::int64_t Incarnation,
                                       std::optional<double> Limit,
                                       std::optional<double> ColdRate) {
  if (!Limit && !ColdRate)
    return std::nullopt;
  double Rate = std::min(Limit.value_or(PermitIssuer::Unlimited),
                         ColdRate.value_or(PermitIssuer::Unlimited));
  return PermitQuery{Target, Incarnation, Rate, ColdRate.has_value()};
}

PermitQuery stricterQuery(PermitQuery Query,
                          const std::optional<PermitQuery> &Known) {
  if (!Known)
    return Query;
  Query.RatePerSecond_ = std::min(Query.RatePerSecond_, Known->RatePerSecond_);
  Query.IsCold_ = Query.IsCold_ || Known->IsCold_;
  return Query;
}

PermitDecision PermitIssuer::decide(const PermitQuery &Query, double Share,
                                    TimePoint Now) {
  prune(Now);
  // After an interruption a query may come before the next report.
  Activity_.recordRequest(Now);
  double Limit = std::isfinite(Query.RatePerSecond_)
                     ? std::clamp(Query.RatePerSecond_, ProbeRate, Unlimited)
                     : ProbeRate;
  double Rate = Limit * std::clamp(Share, 0.0, 1.0);
  double Capacity = 1 + std::min(1.0, Share) + Rate * BurstSeconds;
  if (Query.IsCold_)
    Capacity = std::min(Capacity, Share * coldBurst(Limit));
  // So many VMs may issue that each can't have one permit.
  if (Capacity < 1)
    return {false, MaxWait};
  auto [Position, IsNew] = Buckets_.try_emplace(
      Query.Target_, TargetBucket{Query.Incarnation_,
                                  TokenBucket(Rate, Capacity, 0, Now), Now});
  TargetBucket &Known = Position->second;
  if (Known.Incarnation_ > Query.Incarnation_)
    return {false, MaxWait};
  if (Known.Incarnation_ < Query.Incarnation_)
    Known = {Query.Incarnation_, TokenBucket(Rate, Capacity, 0, Now), Now};
  Known.LastRequestAt_ = Now;
  Known.Bucket_.updateLimits(Rate, Capacity, Now);
  if (Query.IsCold_ && Now < Activity_.heldUntil())
    return {false, std::min<Duration>(MaxWait, Activity_.heldUntil() - Now)};
  if (Known.Bucket_.take(1, Now))
    return {true, {}};
  return {false, std::min(MaxWait, Known.Bucket_.waitFor(1, Now))};
}

void PermitIssuer::prune(TimePoint Now) {
  if (NextPrune_ > Now)
    return;
  std::erase_if(Buckets_, [&](const auto &Entry) {
    return Entry.second.LastRequestAt_ + BucketRetention < Now;
  });
  NextPrune_ = Now + BucketRetention;
}

} // namespace anvil
