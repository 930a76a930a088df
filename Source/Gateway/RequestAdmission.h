#ifndef ANVIL_GATEWAY_REQUESTADMISSION_H
#define ANVIL_GATEWAY_REQUESTADMISSION_H

#include "Admission/KeyCheck.h"
#include "Config/ConfigState.h"
#include "Http/HttpMessage.h"
#include "Requests/Refusal.h"
#include "Requests/RequestContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// A request that is admitted, with what is to be sent to a target.
struct AdmittedRequest {
  RequestContext Context_;
  HttpRequest Outgoing_;
  bool Stream_ = false;
};

/// Decides from the configuration alone whether a request may be served and as
/// what: route, key, adapter and version, cost, deadline.
class RequestAdmission {
public:
  /// Says whether keys of that customer are believed here now, and refuses
  /// when they are not.
  using KeyFreshnessHook =
      std::function<std::optional<Refusal>(const Customer &, TimePoint Now)>;

  /// Starts with the revision that is in force.
  explicit RequestAdmission(std::shared_ptr<ConfigState> State);

  /// Takes over the revision in force; called after each change.
  void adopt();

  /// Sets the check of how fresh this VM's keys are.
  void onKeyUse(KeyFreshnessHook Hook) { KeyFreshness_ = std::move(Hook); }

  /// Admits or refuses a request. `RequestId` is the system's own.
  Outcome<AdmittedRequest> admit(const HttpRequest &Given,
                                 std::string RequestId, TimePoint Now) const;

  /// Why the key of a request that was admitted, and may have waited since, is
  /// no longer good; nothing when it is.
  std::optional<Refusal> checkKeyAgain(const RequestContext &Request,
                                       TimePoint Now) const;

  /// The keys of the revision in force.
  const KeyCheck &keys() const { return Keys_; }

private:
  const Route *findRoute(std::string_view Path) const;
  std::optional<Refusal> authenticate(const HttpRequest &Given,
                                      const Route &Path,
                                      RequestContext &Request,
                                      TimePoint Now) const;
  /// Why the evidence doesn't do for the keys of `Owner` on this route.
  std::optional<Refusal> checkFreshness(const Customer *Owner,
                                        const Route &Path, TimePoint Now) const;
  std::optional<Refusal> admitAdapter(const HttpRequest &Given,
                                      AdmittedRequest &Admitted) const;
  std::optional<Refusal> resolveAdapter(std::string AdapterName,
                                        std::string VersionName,
                                        RequestContext &Request) const;
  static void admitService(const HttpRequest &Given, const Route &Path,
                           AdmittedRequest &Admitted);

  std::shared_ptr<ConfigState> State_;
  KeyCheck Keys_;
  std::vector<const Route *> RoutesByLength_;
  KeyFreshnessHook KeyFreshness_;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_REQUESTADMISSION_H
