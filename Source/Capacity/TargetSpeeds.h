#ifndef ANVIL_CAPACITY_TARGETSPEEDS_H
#define ANVIL_CAPACITY_TARGETSPEEDS_H

#include "Capacity/RobustLevel.h"
#include "Capacity/SpeedMeasurement.h"
#include "Capacity/SpeedReport.h"
#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace anvil {

/// How a target's lasting speed compares with that of its service's median
/// target.
enum class SpeedClass { Fast, Usual, Slow };

inline constexpr std::pair<SpeedClass, std::string_view> SpeedClassNames[] = {
    {SpeedClass::Fast, "fast"},
    {SpeedClass::Usual, "usual"},
    {SpeedClass::Slow, "slow"},
};

/// A process of a target, with the service that it belongs to.
struct MeasuredTarget {
  std::string Id_;
  std::int64_t Incarnation_ = 0;
  std::string Service_;
};

/// A change of a target's class, for the log.
struct SpeedClassChange {
  MeasuredTarget Target_;
  SpeedClass Before_ = SpeedClass::Usual;
  SpeedClass After_ = SpeedClass::Usual;
  /// The time that work takes there, relative to the median target.
  double Factor_ = 1;
  /// The number of samples and steps behind it, and the age of the last one.
  int Samples_ = 0;
  Duration Age_{};
};

/// Estimates how long work takes at each target, relative to the median target
/// of its service. Answers the load of services whose targets differ in speed
/// while demand comes in waves, where equal shares would let the slow ones
/// stall their streams. Measurements of all VMs of a data centre are joined by
/// reports, since one VM sees few answers of each target.
class TargetSpeeds {
public:
  /// Records a measurement of this VM. O(1) apart from a map lookup.
  void recordMeasurement(const MeasuredTarget &Target,
                         const SpeedMeasurement &Measurement, TimePoint Now);

  /// Records that a target stated how long work takes there at this moment, in
  /// percent of the usual time. It is divided out of measurements while it is
  /// fresh.
  void recordStatedTime(const MeasuredTarget &Target, double Percent,
                        TimePoint Now);

  /// Applies what a VM of the same data centre reports.
  void applyReport(const MeasuredTarget &Target, std::int32_t LogTimeCents,
                   TimePoint Now);

  /// Applies the estimate of another data centre. It counts only for targets
  /// without recent measurements here.
  void applyRemoteEstimate(const MeasuredTarget &Target,
                           std::int32_t LogTimeCents, TimePoint Now);

  /// Takes the reports that are due; empty most of the time.
  SpeedReports takeReports(TimePoint Now);

  /// Takes the estimates of targets that aren't usual, for other data centres;
  /// empty most of the time.
  SpeedReports takeEstimates(TimePoint Now);

  /// Derives the classes anew and returns those that changed. To be called at a
  /// steady period.
  std::vector<SpeedClassChange> update(TimePoint Now);

  /// The factor by which work takes longer at a target's incarnation than at
  /// the median target now; 1 for usual and unknown ones.
  double factorOf(const std::string &Target, std::int64_t Incarnation,
                  TimePoint Now) const;

  /// The number of targets by service and class, as of the last update.
  const std::map<std::pair<std::string, SpeedClass>, int> &counts() const {
    return Counts_;
  }

  /// The time that a plain service's median target takes for requests of the
  /// same work; zero if unknown.
  Duration usualServiceTime(const std::string &Service,
                            const std::string &Work) const;

  std::size_t size() const { return Targets_.size(); }

private:
  /// Shared machines slow work down for up to 600 ms at a time.
  static constexpr Duration DisturbanceTime = std::chrono::milliseconds(700);

  struct Record {
    std::int64_t Incarnation_ = 0;
    std::string Service_;
    /// The logarithm of the time relative to the service's references.
    RobustLevel Level_{DisturbanceTime};
    TimePoint MeasuredAt_{};
    /// Own measurements since the last report.
    double PendingSum_ = 0;
    int Pending_ = 0;
    /// The estimate of another data centre, and until when it is valid.
    double RemoteLog_ = 0;
    TimePoint RemoteUntil_{};
    /// What the target stated, as logarithms: usually and last.
    RobustLevel StatedLevel_{DisturbanceTime};
    double StatedLog_ = 0;
    TimePoint StatedAt_{};
    /// As of the last update: the logarithm relative to the median target.
    double Log_ = 0;
    SpeedClass Class_ = SpeedClass::Usual;
  };
  /// Service, signal, work and the magnitude of the running requests.
  using ReferenceKey =
      std::tuple<std::string, SpeedSignal, std::string, unsigned>;

  /// The record of an incarnation; null if a later one is known, or if there
  /// are too many.
  Record *recordOf(const MeasuredTarget &Target, TimePoint Now);
  /// The deviation of the time that a target stated last from what it usually
  /// states; zero if it is stale or small.
  static double momentaryLog(const Record &Known, double Usually,
                             TimePoint Now);
  static bool hasLocalEstimate(const Record &Known, TimePoint Now);
  std::map<std::string, double> mediansByService() const;
  bool hasStreams(const std::string &Service) const;
  SpeedClass classify(const Record &Known) const;

  std::map<std::string, Record> Targets_;
  /// The logarithm of the time at a usual target, relative to the expected
  /// time.
  std::map<ReferenceKey, RobustLevel> References_;
  std::map<std::pair<std::string, SpeedClass>, int> Counts_;
  TimePoint ReportedAt_{};
  TimePoint EstimatesSentAt_{};
  /// The last target reported; the next report begins after it.
  std::string LastReported_;
};

} // namespace anvil

#endif // ANVIL_CAPACITY_TARGETSPEEDS_H
