#ifndef ANVIL_ROUTING_TARGETLIMITS_H
#define ANVIL_ROUTING_TARGETLIMITS_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvil {

/// A target's rate limit as one VM reports it to others.
struct AdvertisedLimit {
  std::int64_t Incarnation_ = 0;
  /// Requests per second that the target accepts from all VMs together; no
  /// value once the target no longer states a limit.
  std::optional<double> RatePerSecond_;
  /// The time since the target stated it.
  Duration Age_{};

  bool operator==(const AdvertisedLimit &) const = default;
};

/// Rate limits by target.
using AdvertisedLimits = std::map<std::string, AdvertisedLimit>;

/// The rate limits for the requests of all VMs together that targets state in
/// their responses. The newest statement counts, whether from a response to
/// this VM or reported by another VM, and it ends with the target's
/// incarnation.
class TargetLimits {
public:
  /// A response withdraws a limit only if its request was sent `EndGrace` after
  /// the limit was last stated.
  explicit TargetLimits(Duration EndGrace = {}) : EndGrace_(EndGrace) {}

  /// Applies a response of a target to a request that was sent at `SentAt`.
  /// `RatePerSecond` is the limit that it states, if any. True when the limit
  /// in force changes.
  bool updateFromResponse(const std::string &Target, std::int64_t Incarnation,
                          std::optional<double> RatePerSecond, TimePoint SentAt,
                          TimePoint Now);

  /// Applies a limit that another VM reports. True when the limit in force
  /// changes.
  bool updateFromPeer(const std::string &Target,
                      const AdvertisedLimit &Reported, TimePoint Now);

  /// The limit of a target's incarnation in requests per second; no value when
  /// it states none.
  std::optional<double> rateOf(const std::string &Target,
                               std::int64_t Incarnation) const;

  /// Whether no response has confirmed the target's limit recently, so that a
  /// request should be sent to check it.
  bool isStale(const std::string &Target, TimePoint Now) const;

  /// The limits that targets stated within the last `Span`, and their
  /// withdrawals.
  AdvertisedLimits statedWithin(Duration Span, TimePoint Now) const;

  /// Removes withdrawn limits that are older than `Span`.
  void prune(Duration Span, TimePoint Now);

  std::size_t size() const { return Targets_.size(); }

private:
  struct Report {
    std::int64_t Incarnation_ = 0;
    std::optional<double> RatePerSecond_;
    TimePoint ReportedAt_{};
  };

  static bool changes(const Report &Before, const Report &After);

  Duration EndGrace_;
  std::map<std::string, Report> Targets_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETLIMITS_H
