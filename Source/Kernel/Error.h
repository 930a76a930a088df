#ifndef ANVIL_KERNEL_ERROR_H
#define ANVIL_KERNEL_ERROR_H

#include <string>
#include <string_view>
#include <variant>

namespace anvil {

/// The kinds of failure that components report to each other.
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
  HistoryGone,
};

/// The stable name of an error code, as used in logs and JSON.
std::string_view errorCodeName(ErrorCode Code);

/// An error value: where it arose, what is wrong and what the operator can do.
struct Error {
  ErrorCode Code_ = ErrorCode::Unavailable;
  std::string Where_;
  std::string Message_;
  std::string Action_;

  /// Formats the error on one line: `where: message; action`.
  std::string describe() const;
};

/// Either a value or the error that prevented it.
template <class Value> using Result = std::variant<Value, Error>;

/// The outcome of an operation that returns no value.
using Status = std::variant<std::monostate, Error>;

template <class Outcome> bool isOk(const Outcome &Checked) {
  return Checked.index() == 0;
}

template <class Outcome> auto &valueOf(Outcome &Checked) {
  return std::get<0>(Checked);
}

template <class Outcome> const Error &errorOf(const Outcome &Checked) {
  return std::get<Error>(Checked);
}

} // namespace anvil

#endif // ANVIL_KERNEL_ERROR_H
