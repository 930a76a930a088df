#include "Routing/PermitIssuer.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The seconds of a limit that may accumulate while there are no requests, in
/// addition to one request.
static constexpr double BurstSeconds = 0.1;

/// How long the bucket of a target is kept after the last request for it.
static constexpr Duration BucketRetention = std::chrono::seconds(60);

/// The share of all VMs below which no permits are issued for a target that
/// takes no burst. Each issuer may add one request to the sum, so there must be
/// few; a VM that reaches hardly any other one is not one of them.
static constexpr double MinShareWithoutBurst = 0.05;

/// Requests per second above which a limit is equivalent to none.
static constexpr double MaxRate = 1e6;

std::optional<PermitQuery> permitQuery(const std::string &Target,
                                       std::int64_t Incarnation,
                                       std::optional<double> Limit,
                                       std::optional<double> ColdRate) {
  if (!Limit && !ColdRate)
    return std::nullopt;
  double Rate = std::min(Limit.value_or(MaxRate), ColdRate.value_or(MaxRate));
  return PermitQuery{Target, Incarnation, Rate, !ColdRate};
}

PermitQuery stricterQuery(PermitQuery Query,
                          const std::optional<PermitQuery> &Known) {
  if (!Known)
    return Query;
  Query.RatePerSecond_ = std::min(Query.RatePerSecond_, Known->RatePerSecond_);
  Query.AllowsBurst_ = Query.AllowsBurst_ && Known->AllowsBurst_;
  return Query;
}

PermitDecision PermitIssuer::decide(const PermitQuery &Query, double Share,
                                    TimePoint Now) {
  prune(Now);
  double Limit = std::isfinite(Query.RatePerSecond_)
                     ? std::clamp(Query.RatePerSecond_, ProbeRate, MaxRate)
                     : ProbeRate;
  double Rate = Limit * std::clamp(Share, 0.0, 1.0);
  bool IsTooSmall = !Query.AllowsBurst_ && Share < MinShareWithoutBurst;
  if (IsTooSmall)
    return {false, MaxWait};
  double Capacity =
      Query.AllowsBurst_ ? 1 + std::min(1.0, Share) + Rate * BurstSeconds : 1;
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
