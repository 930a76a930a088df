#ifndef ANVIL_ROUTING_PERMITISSUER_H
#define ANVIL_ROUTING_PERMITISSUER_H

#include "Admission/TokenBucket.h"
#include "Kernel/Clock.h"
#include "Routing/IssuerActivity.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvil {

/// A VM's request for a permit to send one request to a target with a rate
/// limit.
struct PermitQuery {
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  /// The target's limit in requests per second.
  double RatePerSecond_ = 0;
  /// Whether the target is cold, so that the requests of each second are
  /// bounded and not those of several seconds.
  bool IsCold_ = false;
};

/// The query for a target that states `Limit` or takes `ColdRate` while it is
/// cold, both in requests per second of all VMs; the lower one counts. Nothing
/// if the target has neither, so that it needs no permits.
std::optional<PermitQuery> permitQuery(const std::string &Target,
                                       std::int64_t Incarnation,
                                       std::optional<double> Limit,
                                       std::optional<double> ColdRate);

/// The stricter of a query and of what the issuer knows of the target itself.
PermitQuery stricterQuery(PermitQuery Query,
                          const std::optional<PermitQuery> &Known);

/// Whether one request may be sent now.
struct PermitDecision {
  bool Granted_ = false;
  /// When to request again, if it may not.
  Duration RetryIn_{};
};

/// Issues the permits for targets with a rate limit to all VMs that request
/// them from this one, so that many VMs can share a small limit. A bucket
/// starts empty, so that a VM which takes over from another does not grant
/// permits that the other may already have granted.
class PermitIssuer {
public:
  /// Decides on one request. `Share` is the share of the limit in [0, 1] of the
  /// VMs that may request permits from this one; the rest belongs to
  /// unreachable VMs.
  PermitDecision decide(const PermitQuery &Query, double Share, TimePoint Now);

  /// As `IssuerActivity::record`. After a start or an interruption no permits
  /// for cold targets are issued for a while.
  void recordActivity(Duration Period, TimePoint Now) {
    Activity_.record(Period, Now);
  }

  /// The number of targets with a bucket.
  std::size_t size() const { return Buckets_.size(); }

  /// The lowest rate at which a target is sent requests, in requests per
  /// second: its responses are the only source of later limits.
  static constexpr double ProbeRate = 0.2;

  /// Requests per second above which a limit is equivalent to none.
  static constexpr double Unlimited = 1e6;

  /// The longest wait that a decision states; the limit may have changed by
  /// then.
  static constexpr Duration MaxWait = std::chrono::seconds(1);

private:
  struct TargetBucket {
    std::int64_t Incarnation_ = 0;
    TokenBucket Bucket_;
    TimePoint LastRequestAt_{};
  };

  void prune(TimePoint Now);

  std::map<std::string, TargetBucket> Buckets_;
  TimePoint NextPrune_{};
  IssuerActivity Activity_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_PERMITISSUER_H
