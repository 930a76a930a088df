#ifndef ANVIL_KERNEL_ERROR_H
#define ANVIL_KERNEL_ERROR_H

#include <string>
#include <string_view>
#include <variant>

namespace anvil {

/// The kinds of failure that one part reports to another.
enum class ErrorCode {
  InvalidInput,
  NotFound,
  Conflict,
  Unavailable,
  Timeout,
  ConnectionClosed,
  TooLarge,
  Protocol,
  Ambiguous,
  Refused,
};

/// The stable name of an error code, as logs and JSON show it.
std::string_view errorCodeName(ErrorCode Code);

/// A failure as a value: where it arose, what is wrong, what to do about it.
struct Error {
  ErrorCode Code_ = ErrorCode::Unavailable;
  std::string Where_;
  std::string Message_;
  std::string Action_;

  /// The error on one line: `where: message; action`.
  std::string describe() const;
};

/// Either a value or the reason why there is none.
template <class Value> using Result = std::variant<Value, Error>;

/// The outcome of an operation that has no value to give.
using Status = std::variant<std::monostate, Error>;

template <class Outcome> bool isOk(const Outcome &Given) {
  return Given.index() == 0;
}

template <class Outcome> auto &valueOf(Outcome &Given) {
  return std::get<0>(Given);
}

template <class Outcome> const Error &errorOf(const Outcome &Given) {
  return std::get<Error>(Given);
}

} // namespace anvil

#endif // ANVIL_KERNEL_ERROR_H
