#ifndef ANVIL_LOADING_LOADCHECKS_H
#define ANVIL_LOADING_LOADCHECKS_H

#include "Kernel/Clock.h"

#include <map>
#include <string>
#include <utility>

namespace anvil {

/// Lets one request of this VM find out whether a load that is due has ended,
/// before the others that wait for it are sent. Otherwise all of them would
/// find a late load missing, and each would draw on the retry budget.
class LoadChecks {
public:
  /// The time for which others wait for the first request's reply. Engines
  /// refuse within milliseconds, so a request without a reply by then is taken
  /// to be running.
  static constexpr Duration MaxCheck = std::chrono::milliseconds(20);

  /// Returns the time for which a request for an adapter on an engine, whose
  /// load was ordered at `OrderedAt`, waits; zero if it may be sent, which then
  /// counts as the check.
  Duration pauseBefore(const std::string &Engine, const std::string &Adapter,
                       TimePoint OrderedAt, TimePoint Now);

  /// Records a reply.
  void recordReply(const std::string &Engine, const std::string &Adapter,
                   bool WasMissing);

private:
  struct Check {
    TimePoint StartedAt_{};
    bool Confirmed_ = false;
  };

  /// By engine and adapter.
  std::map<std::pair<std::string, std::string>, Check> Checks_;
  TimePoint NextPrune_{};
};

} // namespace anvil

#endif // ANVIL_LOADING_LOADCHECKS_H
