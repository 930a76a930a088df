#ifndef ANVIL_REQUESTS_REFUSAL_H
#define ANVIL_REQUESTS_REFUSAL_H

#include "Kernel/Clock.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace anvil {

/// Why a request gets no answer from a target.
enum class RefusalCode {
  MalformedRequest,
  HeaderTooLarge,
  BodyTooLarge,
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
  CallerGone,
  Internal,
};

/// Whether the refused request ran on a target.
enum class Execution { No, Yes, Unknown };

/// What every refusal of one code has in common.
struct RefusalTraits {
  RefusalCode Code_;
  /// The stable name that callers see.
  std::string_view Name_;
  int HttpStatus_;
  /// What the caller can do.
  std::string_view Action_;
};

const RefusalTraits &refusalTraits(RefusalCode Code);

std::string_view executionName(Execution Ran);

/// The final answer to a request that the system gives up on.
struct Refusal {
  RefusalCode Code_ = RefusalCode::Internal;
  std::string Message_;
  Execution Ran_ = Execution::No;
  /// When a later try makes sense; absent when none does.
  std::optional<Duration> RetryAfter_;
};

/// A value or the refusal that ends the request.
template <class Value> using Outcome = std::variant<Value, Refusal>;

template <class Value> const Refusal &refusalOf(const Outcome<Value> &Given) {
  return std::get<Refusal>(Given);
}

/// The whole seconds of a Retry-After header; at least one.
std::int64_t retryAfterSeconds(Duration Wait);

} // namespace anvil

#endif // ANVIL_REQUESTS_REFUSAL_H
