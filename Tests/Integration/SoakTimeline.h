#ifndef ANVIL_TESTS_INTEGRATION_SOAKTIMELINE_H
#define ANVIL_TESTS_INTEGRATION_SOAKTIMELINE_H

#include "Integration/SoakPlan.h"
#include "Kernel/Clock.h"

#include <functional>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// A disturbance of a VM or target, from its beginning to its end.
struct SoakSpan {
  std::string Subject_;
  SoakAction Action_ = SoakAction::Hangup;
  TimePoint From_;
  TimePoint To_ = TimePoint::max();
};

/// A configuration that the store confirmed between two times.
struct SoakConfig {
  std::set<std::string> Keys_;
  std::set<std::string> Routes_;
  TimePoint SentAt_;
  TimePoint ConfirmedAt_;
};

/// What happened in a soak; threads add to it.
class SoakTimeline {
public:
  SoakTimeline() : Start_(BootClock::now()) {}

  /// Adds a line to the text.
  void note(const std::string &Subject, std::string_view What);

  /// Begins a disturbance.
  void begin(const std::string &Subject, SoakAction Action);

  /// Ends the disturbances of the subject by these actions.
  void end(const std::string &Subject, const std::set<SoakAction> &Actions);

  void addConfig(SoakConfig Config);

  /// Adds a violation of a rule that was seen while the soak ran.
  void fail(const std::string &Subject, const std::string &What);

  /// Whether one of these disturbances of the subject lies between two times.
  bool has(const std::string &Subject, const std::set<SoakAction> &Actions,
           TimePoint From, TimePoint To) const;

  /// Whether the subject is undisturbed between two times.
  bool isCalm(const std::string &Subject, TimePoint From, TimePoint To) const;

  /// The configurations that may be in force for a request between two times if
  /// each takes effect within `Bound`.
  std::vector<SoakConfig> configsBetween(TimePoint From, TimePoint To,
                                         Duration Bound) const;

  /// How often an action disturbed a subject.
  std::size_t count(const std::string &Subject, SoakAction Action) const;

  /// The disturbances of a subject.
  std::vector<SoakSpan> spans(const std::string &Subject) const;

  const std::vector<std::string> &failures() const { return Failures_; }
  std::string text() const;
  double secondsOf(TimePoint Time) const { return toSeconds(Time - Start_); }

private:
  TimePoint Start_;
  mutable std::mutex Mutex_;
  std::vector<SoakSpan> Spans_;
  std::vector<SoakConfig> Configs_;
  std::vector<std::string> Failures_;
  std::string Text_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_SOAKTIMELINE_H
