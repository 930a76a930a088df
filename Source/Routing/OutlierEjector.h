#ifndef ANVIL_ROUTING_OUTLIEREJECTOR_H
#define ANVIL_ROUTING_OUTLIEREJECTOR_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <map>
#include <string>

namespace anvil {

/// When targets are ejected and for how long.
struct EjectionOptions {
  /// Consecutive failures that eject a target.
  int Failures_ = 5;
  Duration MinEjectionTime_ = std::chrono::seconds(1);
  Duration MaxEjectionTime_ = std::chrono::seconds(60);
  /// The largest share of a group's targets that may be ejected at once.
  double MaxEjectedShare_ = 0.5;
};

/// Whether a target receives requests.
enum class EjectionState {
  Serving,
  /// The ejection time is over: one request may probe the target.
  MayProbe,
  Ejected,
};

/// Ejects targets after consecutive failures. After a time that doubles with
/// each ejection one live request probes the target; its success ends the
/// ejection.
class OutlierEjector {
public:
  explicit OutlierEjector(EjectionOptions Options) : Options_(Options) {}

  EjectionState state(const std::string &Target, TimePoint Now) const;

  /// Records that a request is sent to the target; the request is the probe
  /// when one is due.
  void recordStart(const std::string &Target, TimePoint Now);

  /// Records a request that ended without evidence of the target's health.
  void recordNeutral(const std::string &Target);

  void recordSuccess(const std::string &Target);

  /// Records a failure of a target of the group. True when it ejects the
  /// target.
  bool recordFailure(const std::string &Target, const std::string &Group,
                     std::size_t GroupSize, TimePoint Now);

  /// The number of a group's targets that are ejected.
  std::size_t ejected(const std::string &Group) const;

private:
  struct Health {
    std::string Group_;
    int Failures_ = 0;
    int Ejections_ = 0;
    bool Ejected_ = false;
    bool Probing_ = false;
    TimePoint EjectedUntil_{};
  };

  EjectionOptions Options_;
  std::map<std::string, Health> Targets_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_OUTLIEREJECTOR_H
