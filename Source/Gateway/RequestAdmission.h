#ifndef ANVIL_GATEWAY_REQUESTADMISSION_H
#define ANVIL_GATEWAY_REQUESTADMISSION_H

#include "Admission/KeyLookup.h"
#include "Config/ConfigState.h"
#include "Http/HttpMessage.h"
#include "Requests/Refusal.h"
#include "Requests/RequestContext.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace anvil {

/// An admitted request and the HTTP request to send to a target.
struct AdmittedRequest {
  RequestContext Context_;
  HttpRequest Outgoing_;
  bool Stream_ = false;
};

/// Decides from the configuration alone whether a request is admitted, and
/// resolves its route, key, adapter and version, cost and deadline.
class RequestAdmission {
public:
  /// Returns a refusal if the customer's keys are currently not accepted on
  /// this VM.
  using KeyFreshnessHook =
      std::function<std::optional<Refusal>(const Customer &, TimePoint Now)>;

  /// Starts with the revision in force.
  explicit RequestAdmission(std::shared_ptr<ConfigState> State);

  /// Applies the revision in force; to be called after each change.
  void adopt();

  /// Sets the check whether this VM's keys are recent enough to be accepted.
  void setKeyFreshnessHook(KeyFreshnessHook Hook) {
    KeyFreshness_ = std::move(Hook);
  }

  /// Admits or refuses a request. `RequestId` is the id that this system gave
  /// it.
  Outcome<AdmittedRequest> admit(const HttpRequest &Given,
                                 std::string RequestId, TimePoint Now) const;

  /// Checks the key of an admitted request again, since it may have been
  /// withdrawn while the request waited. Empty if the key is still accepted.
  std::optional<Refusal> recheckKey(const RequestContext &Request,
                                    TimePoint Now) const;

  /// The keys of the revision in force.
  const KeyLookup &keys() const { return Keys_; }

private:
  const Route *findRoute(std::string_view Path) const;
  std::optional<Refusal> authenticate(const HttpRequest &Given,
                                      const Route &Path,
                                      RequestContext &Request,
                                      TimePoint Now) const;
  /// Returns a refusal if the evidence is too old for the keys of `Owner` on
  /// this route.
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
  KeyLookup Keys_;
  std::vector<const Route *> RoutesByLength_;
  KeyFreshnessHook KeyFreshness_;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_REQUESTADMISSION_H
