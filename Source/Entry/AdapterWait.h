#ifndef ANVIL_ENTRY_ADAPTERWAIT_H
#define ANVIL_ENTRY_ADAPTERWAIT_H

#include "Entry/RequestServices.h"
#include "Loading/LoadPatience.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// One request's wait for its adapter: states the request's demand to the
/// engine's owner, decides how long the request waits, and records whether the
/// loads that it waited for were on time.
class AdapterWait {
public:
  /// `AimAt` is when the request exceeds its latency target.
  AdapterWait(RequestServices &Shared, const TargetQuery &Query, int Rank,
              TimePoint AimAt);
  AdapterWait(const AdapterWait &) = delete;
  AdapterWait &operator=(const AdapterWait &) = delete;
  ~AdapterWait() { end(); }

  /// Requests the adapter at a target that doesn't hold it. Returns the time
  /// after which to look at that target again, or nothing if the adapter can't
  /// be there in time.
  std::optional<Duration> nextPause(const TargetChoice &Chosen,
                                    const TargetQuery &Query, Duration TimeLeft,
                                    Duration Waited, TimePoint Now);

  /// How long to wait on at the chosen target, without a new choice; nothing
  /// once the adapter is loaded there or its load is given up.
  std::optional<Duration> pauseAtTarget(const TargetChoice &Chosen,
                                        const TargetQuery &Query,
                                        Duration Waited, TimePoint Now) const;

  /// The time for which the request isn't sent yet to a target that is expected
  /// to hold the adapter: because it lacked the adapter, or because another
  /// request is finding out whether its load has ended.
  Duration pauseBefore(const TargetChoice &Chosen, TimePoint Now) const;

  /// Ends the wait, before the request is sent.
  void end();

  /// Records a reply. Returns whether the request may be sent again if the
  /// adapter was missing.
  bool recordReply(const TargetChoice &Chosen, bool WasMissing,
                   TimePoint SentAt, Duration TimeLeft, TimePoint Now);

  /// The number of sends to targets that lacked the adapter.
  int missingSends() const { return Missing_.count(); }

  /// When the adapter was expected to be loaded at the last decision, as a time
  /// from that decision; nothing without a decision.
  std::optional<Duration> expectedIn() const { return ExpectedIn_; }

private:
  RequestServices &Shared_;
  std::shared_ptr<TargetPicker> Picker_;
  std::string Adapter_;
  int Rank_;
  TimePoint AimAt_;
  /// Whether the request is counted among the waiting ones.
  bool IsWaiting_ = false;
  /// The target whose load of the adapter the request waited for.
  std::string AwaitedTarget_;
  MissingAdapterPauses Missing_;
  /// When the request may be sent again to a target that lacked the adapter.
  std::map<std::string, TimePoint> NotBefore_;
  std::optional<Duration> ExpectedIn_;
};

} // namespace anvil

#endif // ANVIL_ENTRY_ADAPTERWAIT_H
