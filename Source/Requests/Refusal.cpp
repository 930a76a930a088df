#include "Requests/Refusal.h"

#include "Kernel/Invariant.h"

#include <algorithm>
#include <array>

namespace anvil {

static constexpr RefusalTraits RefusalTable[] = {
    {RefusalCode::MalformedRequest, "malformed_request", 400,
     "correct the request"},
    {RefusalCode::HeaderTooLarge, "header_too_large", 431,
     "send fewer or shorter headers"},
    {RefusalCode::BodyTooLarge, "body_too_large", 413, "send a shorter body"},
    {RefusalCode::UnknownCoding, "unknown_coding", 501,
     "send the body with a length or in chunks"},
    {RefusalCode::RequestTimeout, "request_timeout", 408,
     "send the whole request faster"},
    {RefusalCode::UnknownRoute, "unknown_route", 404,
     "use a path that the operators have published"},
    {RefusalCode::MethodNotAllowed, "method_not_allowed", 405,
     "use the method POST"},
    {RefusalCode::MissingKey, "missing_key", 401,
     "send your key as Authorization: Bearer"},
    {RefusalCode::InvalidKey, "invalid_key", 401,
     "ask your operator for a valid key"},
    {RefusalCode::ConfigurationStale, "configuration_stale", 503,
     "try again later; keys can't be verified here now"},
    {RefusalCode::CustomerNotAllowed, "customer_not_allowed", 403,
     "ask your operator for access"},
    {RefusalCode::UnknownAdapter, "unknown_adapter", 404,
     "name a published adapter in the field model"},
    {RefusalCode::UnknownVersion, "unknown_version", 404,
     "name a published version after the @ in the field model"},
    {RefusalCode::ExceedsBurst, "exceeds_burst", 413,
     "ask for fewer tokens; the request is larger than the burst"},
    {RefusalCode::RateExceeded, "rate_exceeded", 429,
     "send again after the time in Retry-After"},
    {RefusalCode::QueueFull, "queue_full", 503,
     "send again after the time in Retry-After"},
    {RefusalCode::DeadlineUnreachable, "deadline_unreachable", 503,
     "send again after the time in Retry-After"},
    {RefusalCode::NoTarget, "no_target", 503,
     "send again after the time in Retry-After"},
    {RefusalCode::AdapterUnavailable, "adapter_unavailable", 503,
     "send again after the time in Retry-After"},
    {RefusalCode::TargetFailed, "target_failed", 502,
     "inspect the field ran before you send it again"},
    {RefusalCode::StreamBroken, "stream_broken", 502,
     "inspect the field ran before you send it again"},
    {RefusalCode::Quarantined, "quarantined", 422,
     "change the request; this one has crashed targets"},
    {RefusalCode::InProgress, "in_progress", 409,
     "send again after the time in Retry-After to get the outcome"},
    {RefusalCode::OutcomeUnknown, "outcome_unknown", 409,
     "check with the service; this request will not be run again"},
    {RefusalCode::IdempotencyConflict, "idempotency_conflict", 422,
     "use a new Idempotency-Key for another request"},
    {RefusalCode::PlatformUnavailable, "platform_unavailable", 503,
     "send again after the time in Retry-After"},
    {RefusalCode::NotReady, "not_ready", 503,
     "send again after the time in Retry-After"},
    {RefusalCode::Draining, "draining", 503, "send again now"},
    {RefusalCode::CallerDisconnected, "caller_gone", 499,
     "keep the connection open until the answer has arrived"},
    {RefusalCode::Internal, "internal", 500, "tell your operator"},
};

const RefusalTraits &refusalTraits(RefusalCode Code) {
  for (const RefusalTraits &Traits : RefusalTable)
    if (Traits.Code_ == Code)
      return Traits;
  checkInvariant(false, "a refusal code has no traits");
  return RefusalTable[0];
}

std::string_view executionName(Execution Executed) {
  static constexpr std::array<std::string_view, 3> Names{"no", "yes",
                                                         "unknown"};
  return Names[static_cast<std::size_t>(Executed)];
}

std::int64_t retryAfterSeconds(Duration Wait) {
  auto Whole = std::chrono::ceil<std::chrono::seconds>(Wait).count();
  return std::max<std::int64_t>(1, Whole);
}

} // namespace anvil
