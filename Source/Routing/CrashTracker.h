#ifndef ANVIL_ROUTING_CRASHTRACKER_H
#define ANVIL_ROUTING_CRASHTRACKER_H

#include "Kernel/Clock.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace anvil {

/// One life of one target, which can crash once.
struct TargetLife {
  std::string Target_;
  std::string Incarnation_;

  auto operator<=>(const TargetLife &) const = default;
};

/// How long crashes are remembered and how many.
struct CrashTrackerOptions {
  Duration SuspectTime_ = std::chrono::minutes(10);
  Duration QuarantineTime_ = std::chrono::hours(1);
  std::size_t MostDigests_ = 10000;
};

/// Which requests were running when targets crashed. A digest that was there
/// when two lives of targets ended is quarantined; one that was there once is
/// only a suspect.
class CrashTracker {
public:
  explicit CrashTracker(CrashTrackerOptions Options) : Options_(Options) {}

  /// Notes that a request was running when a target crashed. Hearing of one
  /// crash again changes nothing. True when the digest is quarantined by this.
  bool note(const std::string &Digest, const TargetLife &Crashed,
            TimePoint Now);

  bool isSuspect(const std::string &Digest, TimePoint Now) const;
  bool isQuarantined(const std::string &Digest, TimePoint Now) const;

  /// How long a quarantine still lasts.
  Duration timeLeft(const std::string &Digest, TimePoint Now) const;

  /// Forgets a digest; false when it was not known.
  bool clear(const std::string &Digest);

  /// The quarantined digests.
  std::vector<std::string> quarantined(TimePoint Now) const;

  /// Drops what is past its time.
  void expire(TimePoint Now);

  std::size_t size() const { return Suspects_.size(); }

private:
  struct Suspect {
    std::map<TargetLife, TimePoint> Crashes_;
    TimePoint Until_{};
    bool Quarantined_ = false;
  };

  const Suspect *find(const std::string &Digest, TimePoint Now) const;

  CrashTrackerOptions Options_;
  std::map<std::string, Suspect> Suspects_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_CRASHTRACKER_H
