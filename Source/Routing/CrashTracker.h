#ifndef ANVIL_ROUTING_CRASHTRACKER_H
#define ANVIL_ROUTING_CRASHTRACKER_H

#include "Kernel/Clock.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// One incarnation of one target, which can crash once.
struct TargetInstance {
  std::string Target_;
  std::string Incarnation_;

  auto operator<=>(const TargetInstance &) const = default;
};

/// Retention times and capacity of a `CrashTracker`.
struct CrashTrackerOptions {
  Duration SuspectTime_ = std::chrono::minutes(10);
  Duration QuarantineTime_ = std::chrono::hours(1);
  std::size_t MaxDigests_ = 10000;
};

/// Records which requests were running when targets crashed. A digest that was
/// running during the crashes of two different target incarnations is
/// quarantined; after one crash it is only a suspect.
class CrashTracker {
public:
  explicit CrashTracker(CrashTrackerOptions Options) : Options_(Options) {}

  /// Records that a request was running when a target crashed. Repeated reports
  /// of the same crash have no effect. True when this report quarantines the
  /// digest.
  bool addCrash(const std::string &Digest, const TargetInstance &Crashed,
                TimePoint Now);

  bool isSuspect(const std::string &Digest, TimePoint Now) const;
  bool isQuarantined(const std::string &Digest, TimePoint Now) const;

  /// The time until the digest's entry expires; zero when it has none.
  Duration timeLeft(const std::string &Digest, TimePoint Now) const;

  /// Removes a digest; false when it was not known.
  bool clear(const std::string &Digest);

  std::vector<std::string> quarantined(TimePoint Now) const;

  /// The crashes by which a VM that knows none quarantines the same digests:
  /// the latest ones, at most `MaxDigests`.
  std::vector<std::pair<std::string, TargetInstance>>
  evidence(std::size_t MaxDigests, TimePoint Now) const;

  /// Removes expired entries.
  void expire(TimePoint Now);

  std::size_t size() const { return Suspects_.size(); }

private:
  struct Suspect {
    std::map<TargetInstance, TimePoint> Crashes_;
    TimePoint ExpiresAt_{};
    bool Quarantined_ = false;
  };

  const Suspect *find(const std::string &Digest, TimePoint Now) const;

  CrashTrackerOptions Options_;
  std::map<std::string, Suspect> Suspects_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_CRASHTRACKER_H
