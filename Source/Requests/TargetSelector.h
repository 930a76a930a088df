#ifndef ANVIL_REQUESTS_TARGETSELECTOR_H
#define ANVIL_REQUESTS_TARGETSELECTOR_H

#include "Kernel/ServiceRegistry.h"
#include "Requests/PermitBroker.h"
#include "Requests/RequestContext.h"

#include <set>
#include <string>
#include <vector>

namespace anvil {

/// How a try on a target ended, as routing sees it.
enum class TryResult { Answered, RefusedBeforeRunning, Failed, Crashed };

/// Chooses where requests run and whether they run again.
class TargetSelector : public Service {
public:
  static constexpr std::string_view Name = "target_selector";

  std::string_view serviceName() const override { return Name; }

  /// The targets that may run the request, best first, without `Excluded`.
  virtual std::vector<std::string> rank(const RequestContext &Request,
                                        const std::set<std::string> &Excluded,
                                        TimePoint Now) = 0;

  /// Notes that the request is about to ask for a permit on the target.
  virtual void noteChosen(const RequestContext &, const std::string &,
                          TimePoint) {}

  /// Notes that it got none, so that no try follows.
  virtual void noteDeclined(const RequestContext &, const std::string &,
                            TimePoint) {}

  /// Notes how a try ended and how long its answer took to begin.
  virtual void noteTry(const RequestContext &Request, const Permit &Used,
                       TryResult Result, Duration FirstByte, TimePoint Now) = 0;

  /// Whether one more try is within the retry budget; a yes uses it.
  virtual bool allowRetry(const RequestContext &Request, TimePoint Now) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_TARGETSELECTOR_H
