#ifndef ANVIL_REQUESTS_REFUSAL_H
#define ANVIL_REQUESTS_REFUSAL_H

#include "Kernel/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace anvil {

/// The reason why a request gets no reply from a target.
enum class RefusalCode {
  MalformedRequest,
  HeaderTooLarge,
  BodyTooLarge,
  UnknownCoding,
  RequestTimeout,
  UnknownRoute,
  MethodNotAllowed,
  MissingKey,
  InvalidKey,
  ConfigurationStale,
  CustomerNotAllowed,
  UnknownAdapter,
  UnknownVersion,
  ExceedsBurst,
  RateExceeded,
  QueueFull,
  DeadlineUnreachable,
  NoTarget,
  AdapterUnavailable,
  TargetFailed,
  StreamBroken,
  Quarantined,
  InProgress,
  OutcomeUnknown,
  IdempotencyConflict,
  PlatformUnavailable,
  NotReady,
  Draining,
  CallerDisconnected,
  Internal,
};

/// Whether the refused request ran on a target.
enum class Execution { No, Yes, Unknown };

/// Properties shared by all refusals of one code.
struct RefusalTraits {
  RefusalCode Code_;
  /// The stable name reported to callers.
  std::string_view Name_;
  int HttpStatus_;
  /// The advice to the caller.
  std::string_view Action_;
};

const RefusalTraits &refusalTraits(RefusalCode Code);

std::string_view executionName(Execution Executed);

/// The final reply to a request that is not served.
struct Refusal {
  RefusalCode Code_ = RefusalCode::Internal;
  std::string Message_;
  Execution Executed_ = Execution::No;
  /// The time after which a retry makes sense; empty if none does.
  std::optional<Duration> RetryAfter_;
};

/// A value or the refusal that ends the request.
template <class Value> using Outcome = std::variant<Value, Refusal>;

template <class Value> const Refusal &refusalOf(const Outcome<Value> &Given) {
  return std::get<Refusal>(Given);
}

/// The value of a Retry-After header in whole seconds, rounded up; at least 1.
std::int64_t retryAfterSeconds(Duration Wait);

} // namespace anvil

#endif // ANVIL_REQUESTS_REFUSAL_H
