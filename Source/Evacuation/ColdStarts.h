#ifndef ANVIL_EVACUATION_COLDSTARTS_H
#define ANVIL_EVACUATION_COLDSTARTS_H

#include "Serving/ServingPlan.h"
#include "Serving/TargetRoster.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvil {

/// Why a target counts as cold, or no longer does.
enum class ColdSign {
  /// Its entry in the list states the time that is left.
  Entry,
  /// It appeared in the list, or a new incarnation of it did.
  NewIncarnation,
  /// It was unreachable and takes connections again.
  Reachable,
  /// A VM saw its incarnation crash, so that what is reached next has just
  /// started.
  Crash,
  /// The evacuation of its data centre ended.
  EvacuationEnd,
  /// A response of it states the time that is left.
  Response,
  /// The time is over.
  Elapsed,
};

inline constexpr std::pair<ColdSign, std::string_view> ColdSignNames[] = {
    {ColdSign::Entry, "entry"},
    {ColdSign::NewIncarnation, "new_incarnation"},
    {ColdSign::Reachable, "reachable"},
    {ColdSign::Crash, "crash"},
    {ColdSign::EvacuationEnd, "evacuation_end"},
    {ColdSign::Response, "response"},
    {ColdSign::Elapsed, "elapsed"},
};

/// A target that turned cold or warm.
struct ColdChange {
  std::string Target_;
  std::int64_t Incarnation_ = 0;
  bool IsCold_ = false;
  ColdSign Sign_ = ColdSign::Entry;
  /// How much longer it is cold, and the requests per second that it then takes
  /// from all VMs together; both zero for a target that turned warm.
  Duration Remaining_{};
  double RequestsPerSecond_ = 0;
};

/// Decides which targets are cold: have just started, and take few requests
/// per second for some time. Only targets of services with cold starts are.
/// A target's own statement of the time left is used where there is one, and
/// the service's time after signs of a start.
class ColdStarts {
public:
  /// A statement of the time left counts for at most this many times the
  /// service's cold time, also if it is repeated unchanged, so that a wrong one
  /// doesn't hold back requests for hours.
  static constexpr int MaxStatedColdTimes = 4;

  /// Sets the services with cold starts.
  void setPlan(const ServingPlan &Plan);

  /// Applies an entry of the list. `IsNew` means that the target or its
  /// incarnation appeared after this VM had read the list before. An entry may
  /// be older than a crash, so that it ends only what an entry or the new
  /// incarnation began.
  std::optional<ColdChange> recordEntry(const RegisteredTarget &Entry,
                                        bool IsNew, TimePoint Now);

  /// Applies a sign that the target may have started again: `Reachable`,
  /// `Crash` or `EvacuationEnd`.
  std::optional<ColdChange> recordReturn(const RegisteredTarget &Target,
                                         ColdSign Sign, TimePoint Now);

  /// Applies the end of a data centre's evacuation to all of its targets.
  std::vector<ColdChange>
  recordDataCentreReturned(const TargetRoster &Roster,
                           const std::string &DataCentre, TimePoint Now);

  /// Applies the time left that a response to a request sent at `SentAt`
  /// states; zero if the target is warm.
  std::optional<ColdChange> recordResponse(const RegisteredTarget &Target,
                                           Duration Remaining, TimePoint SentAt,
                                           TimePoint Now);

  /// The requests per second of all VMs that a cold incarnation takes; no value
  /// while it is warm.
  std::optional<double> rateOf(const std::string &Target,
                               std::int64_t Incarnation, TimePoint Now) const;

  /// How much longer an incarnation is cold; zero if it is warm.
  Duration remaining(const std::string &Target, std::int64_t Incarnation,
                     TimePoint Now) const;

  /// Whether there were signs of this incarnation or of a later one.
  bool isKnown(const std::string &Target, std::int64_t Incarnation) const;

  /// Returns the targets whose cold time has elapsed since the last call, and
  /// removes what is no longer needed.
  std::vector<ColdChange> expire(TimePoint Now);

  /// The number of targets with signs.
  std::size_t size() const { return Targets_.size(); }

private:
  struct Known {
    std::int64_t Incarnation_ = 0;
    std::string Service_;
    /// The last sign, and when it came.
    ColdSign Sign_ = ColdSign::Entry;
    TimePoint SignAt_{};
    /// Whether an entry has said since the last other sign that the target is
    /// cold.
    bool EntrySaidCold_ = false;
    /// Until when the target is cold by signs of a start, and by its own
    /// statement.
    TimePoint AssumedUntil_{};
    TimePoint StatedUntil_{};
    /// The time left that it stated last, and since when it states this value.
    std::optional<Duration> Stated_;
    TimePoint StatedSince_{};
    TimePoint StatedAt_{};
    /// Whether `ColdChange` values have reported it as cold.
    bool IsReported_ = false;

    /// Records the last sign of a cold target.
    void setSign(ColdSign Sign, TimePoint Now) {
      Sign_ = Sign;
      SignAt_ = Now;
      EntrySaidCold_ = Sign == ColdSign::Entry;
    }

    /// Forgets the times for which the target is cold.
    void endTimes() {
      AssumedUntil_ = {};
      StatedUntil_ = {};
      Stated_.reset();
    }

    TimePoint until() const { return std::max(AssumedUntil_, StatedUntil_); }
  };

  const ColdStartPlan *planOf(const std::string &Service) const;
  /// What is known of the target's incarnation; null if it is older than the
  /// known one.
  Known *knownOf(const RegisteredTarget &Target);
  static void applyStatement(Known &Of, Duration Remaining,
                             const ColdStartPlan &Plan, TimePoint Now);
  std::optional<ColdChange> report(const std::string &Target, Known &Of,
                                   ColdSign Sign, TimePoint Now);

  std::map<std::string, ColdStartPlan> Plans_;
  std::map<std::string, Known> Targets_;
};

} // namespace anvil

#endif // ANVIL_EVACUATION_COLDSTARTS_H
