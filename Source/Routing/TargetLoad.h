#ifndef ANVIL_ROUTING_TARGETLOAD_H
#define ANVIL_ROUTING_TARGETLOAD_H

#include "Routing/TargetDirectory.h"

#include <deque>
#include <map>
#include <string>

namespace anvil {

/// Estimates how many requests a target has: what it reported, corrected by
/// what this VM has sent and got back since the report was made.
class TargetLoad {
public:
  /// `Lag` is how old a report's figures may be when it is taken in.
  explicit TargetLoad(Duration Lag) : Lag_(Lag) {}

  void began(const std::string &Target, TimePoint Now);

  /// Notes the end of a request that began at `Began`.
  void ended(const std::string &Target, TimePoint Began, TimePoint Now);

  /// The estimate; `Report` may be null.
  double estimate(const std::string &Target, const TargetReport *Report,
                  TimePoint Now) const;

  /// This VM's requests on the target.
  std::size_t running(const std::string &Target) const;

private:
  struct Usage {
    std::multiset<TimePoint> Began_;
    /// When requests ended that a report may still count, with their begin.
    std::deque<std::pair<TimePoint, TimePoint>> Ended_;
  };

  Duration Lag_;
  std::map<std::string, Usage> Usages_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETLOAD_H
