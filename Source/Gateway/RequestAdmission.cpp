#include "Gateway/RequestAdmission.h"

#include "Gateway/Forwarding.h"
#include "Gateway/OpenAiCodec.h"
#include "Membership/Rendezvous.h"
#include "Objects/Digest.h"

#include <algorithm>
#include <cmath>

namespace anvil {

/// The output limit of a request that sets none.
static constexpr std::int64_t DefaultMaxTokens = 256;

/// Tokens that a prompt may cost beyond its text, such as role markers.
static constexpr double PromptOverheadTokens = 16;

/// The maximum length of an idempotency key.
static constexpr std::size_t IdempotencyKeyLimitBytes = 255;

RequestAdmission::RequestAdmission(std::shared_ptr<ConfigState> State)
    : State_(std::move(State)) {
  adopt();
}

void RequestAdmission::adopt() {
  const SnapshotPtr &Current = State_->current();
  Keys_.adopt(Current);
  RoutesByLength_.clear();
  for (const auto &[Name, Known] : Current->Objects_.all<Route>())
    RoutesByLength_.push_back(&Known);
  std::ranges::sort(RoutesByLength_, std::greater<>(), [](const Route *Known) {
    return Known->PathPrefix_.size();
  });
}

const Route *RequestAdmission::findRoute(std::string_view Path) const {
  for (const Route *Known : RoutesByLength_) {
    const std::string &Prefix = Known->PathPrefix_;
    if (!Path.starts_with(Prefix))
      continue;
    bool EndsAtSegment = Path.size() == Prefix.size() || Prefix.back() == '/' ||
                         Path[Prefix.size()] == '/';
    if (EndsAtSegment)
      return Known;
  }
  return nullptr;
}

static Refusal refuse(RefusalCode Code, std::string Message) {
  return {Code, std::move(Message), Execution::No, std::nullopt};
}

/// Returns the secret of `Authorization: Bearer SECRET`.
static std::string_view bearerSecret(const HttpRequest &Given) {
  constexpr std::string_view Scheme = "bearer ";
  std::string_view Value =
      Given.Headers_.find("Authorization").value_or(std::string_view{});
  if (Value.size() <= Scheme.size() ||
      !sameHeaderName(Value.substr(0, Scheme.size()), Scheme))
    return {};
  return Value.substr(Scheme.size());
}

std::optional<Refusal> RequestAdmission::authenticate(const HttpRequest &Given,
                                                      const Route &Path,
                                                      RequestContext &Request,
                                                      TimePoint Now) const {
  std::string_view Secret = bearerSecret(Given);
  if (Secret.empty())
    return Path.Open_ ? std::nullopt
                      : std::optional(refuse(RefusalCode::MissingKey,
                                             "the route requires a key"));
  const Key *Known = Keys_.find(Secret);
  if (!Known)
    return refuse(RefusalCode::InvalidKey, "the key is unknown or withdrawn");
  const Customer *Owner =
      Request.Snapshot_->Objects_.find<Customer>(Known->Customer_);
  if (auto Stale = checkFreshness(Owner, Path, Now))
    return Stale;
  Request.Customer_ = Known->Customer_;
  Request.KeyName_ = Known->Name_;
  return std::nullopt;
}

std::optional<Refusal>
RequestAdmission::recheckKey(const RequestContext &Request,
                             TimePoint Now) const {
  if (Request.KeyName_.empty())
    return std::nullopt;
  if (!Keys_.isValid(Request.KeyName_))
    return refuse(RefusalCode::InvalidKey,
                  "the key was withdrawn while the request waited");
  const Customer *Owner =
      State_->current()->Objects_.find<Customer>(Request.Customer_);
  const Route *Path = Request.Snapshot_->Objects_.find<Route>(Request.Route_);
  return checkFreshness(Owner, *Path, Now);
}

std::optional<Refusal> RequestAdmission::checkFreshness(const Customer *Owner,
                                                        const Route &Path,
                                                        TimePoint Now) const {
  if (!KeyFreshness_ || !Owner || Path.Open_)
    return std::nullopt;
  return KeyFreshness_(*Owner, Now);
}

std::optional<Refusal>
RequestAdmission::resolveAdapter(std::string AdapterName,
                                 std::string VersionName,
                                 RequestContext &Request) const {
  const Adapter *Known = Request.Snapshot_->Objects_.find<Adapter>(AdapterName);
  bool IsAllowed =
      Known && (Known->Customers_.empty() ||
                std::ranges::count(Known->Customers_, Request.Customer_) > 0);
  // Another customer's adapter is reported like one that doesn't exist, so that
  // its name isn't disclosed.
  if (!IsAllowed)
    return refuse(RefusalCode::UnknownAdapter,
                  "there is no adapter \"" + AdapterName + "\"");
  if (VersionName.empty())
    VersionName = Known->CurrentVersion_;
  bool Exists =
      std::ranges::any_of(Known->Versions_, [&](const AdapterVersion &Version) {
        return Version.Name_ == VersionName;
      });
  if (!Exists)
    return refuse(RefusalCode::UnknownVersion, "the adapter " + AdapterName +
                                                   " has no version \"" +
                                                   VersionName + "\"");
  Request.Adapter_ = {std::move(AdapterName), std::move(VersionName)};
  Request.BaseModel_ = Known->BaseModel_;
  return std::nullopt;
}

std::optional<Refusal>
RequestAdmission::admitAdapter(const HttpRequest &Given,
                               AdmittedRequest &Admitted) const {
  if (Given.Method_ != "POST")
    return refuse(RefusalCode::MethodNotAllowed,
                  "completions do not support " + Given.Method_);
  auto Decoded = decodeCompletion(Given.Body_);
  if (!isOk(Decoded))
    return refuse(RefusalCode::MalformedRequest, errorOf(Decoded).describe());
  CompletionRequest &Completion = valueOf(Decoded);
  RequestContext &Request = Admitted.Context_;
  if (auto Refused =
          resolveAdapter(Completion.Adapter_, Completion.Version_, Request))
    return Refused;
  const BaseModel *Base =
      Request.Snapshot_->Objects_.find<BaseModel>(Request.BaseModel_);
  std::int64_t MaxTokens = Completion.MaxTokens_.value_or(
      std::min(DefaultMaxTokens, Base->MaxOutputTokens_));
  if (MaxTokens > Base->MaxOutputTokens_)
    return refuse(RefusalCode::MalformedRequest,
                  "max_tokens: the model allows at most " +
                      std::to_string(Base->MaxOutputTokens_));
  double PromptTokens = std::ceil(static_cast<double>(Completion.PromptBytes_) /
                                  Base->MinBytesPerToken_);
  Request.UpperBoundTokens_ =
      PromptTokens + PromptOverheadTokens + static_cast<double>(MaxTokens);
  Request.PrefixHash_ = stableHash(Completion.PromptStart_);
  Admitted.Stream_ = Completion.Stream_;
  Admitted.Outgoing_.Body_ = encodeForEngine(
      Completion, Request.Adapter_.text(), MaxTokens, Request.Priority_);
  return std::nullopt;
}

void RequestAdmission::admitService(const HttpRequest &Given, const Route &Path,
                                    AdmittedRequest &Admitted) {
  Admitted.Context_.Service_ = Path.Service_;
  Admitted.Context_.UpperBoundTokens_ = Path.CostTokens_;
  Admitted.Outgoing_.Body_ = Given.Body_;
}

Outcome<AdmittedRequest> RequestAdmission::admit(const HttpRequest &Given,
                                                 std::string RequestId,
                                                 TimePoint Now) const {
  const Route *Path = findRoute(Given.path());
  if (!Path)
    return refuse(RefusalCode::UnknownRoute,
                  "no route matches " + std::string(Given.path()));
  AdmittedRequest Admitted;
  RequestContext &Request = Admitted.Context_;
  Request.RequestId_ = std::move(RequestId);
  Request.Snapshot_ = State_->current();
  Request.Route_ = Path->Name_;
  Request.Pool_ = Path->Pool_;
  Request.Repeatable_ = Path->Repeatable_;
  Request.Arrived_ = Now;
  Request.Deadline_ = Now + std::chrono::milliseconds(Path->DeadlineMs_);
  Request.RequestClass_ = Path->RequestClass_;
  if (const auto *Class =
          Request.Snapshot_->Objects_.find<RequestClass>(Path->RequestClass_)) {
    Request.Priority_ = Class->Priority_;
    Request.Ageing_ = std::chrono::milliseconds(Class->AgeingMs_);
  }
  if (auto Refused = authenticate(Given, *Path, Request, Now))
    return *Refused;
  Request.IdempotencyKey_ =
      Given.Headers_.find("Idempotency-Key").value_or(std::string_view{});
  if (Request.IdempotencyKey_.size() > IdempotencyKeyLimitBytes)
    return refuse(RefusalCode::MalformedRequest,
                  "Idempotency-Key: longer than " +
                      std::to_string(IdempotencyKeyLimitBytes) + " bytes");
  if (Path->RouteKind_ == RouteKind::Service)
    admitService(Given, *Path, Admitted);
  else if (auto Refused = admitAdapter(Given, Admitted))
    return *Refused;
  Admitted.Outgoing_.Method_ = Given.Method_;
  Admitted.Outgoing_.Target_ = Given.Target_;
  Admitted.Outgoing_.Headers_ = headersForTarget(Given, Request);
  Request.Digest_ = sha256Hex(Request.Customer_ + "\n" + Given.Method_ + " " +
                              Given.Target_ + "\n" + Given.Body_);
  return Admitted;
}

} // namespace anvil
