#include "Kernel/Error.h"

#include <array>
#include <utility>

namespace anvil {

static constexpr std::array<std::pair<ErrorCode, std::string_view>, 11>
    ErrorCodeNames{{
        {ErrorCode::InvalidInput, "invalid_input"},
        {ErrorCode::NotFound, "not_found"},
        {ErrorCode::Conflict, "conflict"},
        {ErrorCode::Unavailable, "unavailable"},
        {ErrorCode::Timeout, "timeout"},
        {ErrorCode::ConnectionClosed, "connection_closed"},
        {ErrorCode::TooLarge, "too_large"},
        {ErrorCode::Protocol, "protocol"},
        {ErrorCode::Ambiguous, "ambiguous"},
        {ErrorCode::Refused, "refused"},
        {ErrorCode::HistoryGone, "history_gone"},
    }};

std::string_view errorCodeName(ErrorCode Code) {
  for (const auto &[Known, Name] : ErrorCodeNames)
    if (Known == Code)
      return Name;
  return "unknown";
}

std::string Error::describe() const {
  std::string Line = Where_.empty() ? Message_ : Where_ + ": " + Message_;
  if (!Action_.empty())
    Line += "; " + Action_;
  return Line;
}

} // namespace anvil
