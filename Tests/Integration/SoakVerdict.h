#ifndef ANVIL_TESTS_INTEGRATION_SOAKVERDICT_H
#define ANVIL_TESTS_INTEGRATION_SOAKVERDICT_H

#include "Integration/SoakCallers.h"
#include "Integration/SoakTimeline.h"

#include <map>

namespace anvil {

/// Judges the requests of a soak by the rules of the users' platform.
class SoakVerdict {
public:
  /// `Runs` are the targets' records of the requests that they ran.
  SoakVerdict(const SoakTimeline &Timeline,
              const std::vector<nlohmann::json> &Runs, Duration RouteTimeout);

  /// The rules that a request breaks, each with what was seen.
  std::vector<std::string> violationsOf(const SoakRequest &Item) const;

  /// Whether a disturbance may be the cause of a failure.
  bool isExcused(const SoakRequest &Item) const;

private:
  struct Run {
    std::string Target_;
    TimePoint At_;
  };

  bool mayBeCut(const SoakRequest &Item) const;
  /// Whether the VM is in touch from before the request to its end.
  bool isInTouch(const SoakRequest &Item) const;
  /// Whether all configurations that may be in force allow a request.
  bool isAllowed(const SoakRequest &Item) const;
  std::vector<SoakConfig> configsFor(const SoakRequest &Item) const;
  void judgeEnding(const SoakRequest &Item,
                   std::vector<std::string> &Found) const;
  void judgeRuns(const SoakRequest &Item,
                 std::vector<std::string> &Found) const;
  void judgeConfig(const SoakRequest &Item,
                   std::vector<std::string> &Found) const;

  const SoakTimeline &Timeline_;
  Duration RouteTimeout_;
  std::map<std::string, std::vector<Run>> Runs_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_SOAKVERDICT_H
