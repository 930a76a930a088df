#ifndef ANVIL_ROUTING_TARGETLOAD_H
#define ANVIL_ROUTING_TARGETLOAD_H

#include "Routing/TargetDirectory.h"

#include <deque>
#include <map>
#include <string>

namespace anvil {

/// Estimates the number of requests on a target: the number that it reported,
/// corrected by the requests that this VM has sent and completed since the
/// report was made.
class TargetLoad {
public:
  /// `ReportLag` is how old the figures of a report may be when it arrives.
  explicit TargetLoad(Duration ReportLag) : ReportLag_(ReportLag) {}

  void recordStart(const std::string &Target, TimePoint Now);

  /// Records the end of a request that started at `StartedAt`.
  void recordEnd(const std::string &Target, TimePoint StartedAt, TimePoint Now);

  /// The estimated number of requests; `Report` may be null.
  double estimate(const std::string &Target, const TargetReport *Report,
                  TimePoint Now) const;

  /// The number of this VM's requests on the target.
  std::size_t running(const std::string &Target) const;

private:
  struct Usage {
    std::multiset<TimePoint> StartTimes_;
    /// Start and end times of ended requests that a report may still count.
    std::deque<std::pair<TimePoint, TimePoint>> RecentlyEnded_;
  };

  Duration ReportLag_;
  std::map<std::string, Usage> Usages_;
};

} // namespace anvil

#endif // ANVIL_ROUTING_TARGETLOAD_H
