#ifndef ANVIL_TESTS_INTEGRATION_BROKENSTREAMS_H
#define ANVIL_TESTS_INTEGRATION_BROKENSTREAMS_H

#include "Integration/EntryFleet.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// Two engines with a software version each, and callers of streams with twenty
/// events that break off after the third.
class BrokenStreams {
public:
  explicit BrokenStreams(EntryFleetPlan Plan = {},
                         const std::string &FirstVersion = "v1",
                         const std::string &SecondVersion = "v2");

  EntryFleet &system() { return System_; }

  CallerReply
  call(const std::string &Vm, const std::string &Id,
       std::vector<std::pair<std::string, std::string>> Headers = {});

  /// Sends requests until the VM serves and has earned the retries of a test.
  void settle(const std::string &Vm);

  /// Begins a stream whose connection to the caller breaks. Returns the seal of
  /// the engine that began it.
  std::string begin(const std::string &Vm, const std::string &Id);

  /// The engines that ran a request.
  std::set<std::string> enginesOf(const std::string &Id);

  /// Takes up a stream after its third event.
  CallerReply takeUp(const std::string &Vm, const std::string &Id);

  static std::string sealOf(const CallerReply &Reply);

private:
  EntryFleet System_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_BROKENSTREAMS_H
