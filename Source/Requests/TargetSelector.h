#ifndef ANVIL_REQUESTS_TARGETSELECTOR_H
#define ANVIL_REQUESTS_TARGETSELECTOR_H

#include "Kernel/ServiceRegistry.h"
#include "Requests/PermitBroker.h"
#include "Requests/RequestContext.h"

#include <set>
#include <string>
#include <vector>

namespace anvil {

/// The result of an attempt on a target, as seen by routing.
enum class AttemptResult { Replied, RefusedBeforeRunning, Failed, Crashed };

/// Selects the targets for requests and limits retries.
class TargetSelector : public Service {
public:
  static constexpr std::string_view Name = "target_selector";

  std::string_view serviceName() const override { return Name; }

  /// The targets that may run the request, best first, without those in
  /// `Excluded`.
  virtual std::vector<std::string> rank(const RequestContext &Request,
                                        const std::set<std::string> &Excluded,
                                        TimePoint Now) = 0;

  /// Records that the request is about to request a permit on the target.
  virtual void recordSelection(const RequestContext &, const std::string &,
                               TimePoint) {}

  /// Records that no permit was granted, so that no attempt follows.
  virtual void recordPermitDenied(const RequestContext &, const std::string &,
                                  TimePoint) {}

  /// Records the result of an attempt and the time to the first byte of the
  /// reply.
  virtual void recordAttempt(const RequestContext &Request, const Permit &Used,
                             AttemptResult Result, Duration FirstByte,
                             TimePoint Now) = 0;

  /// Whether one more attempt is within the retry budget; if so, it is charged
  /// to the budget.
  virtual bool allowRetry(const RequestContext &Request, TimePoint Now) = 0;
};

} // namespace anvil

#endif // ANVIL_REQUESTS_TARGETSELECTOR_H
