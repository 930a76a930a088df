#ifndef ANVIL_HTTP_BODYFRAMING_H
#define ANVIL_HTTP_BODYFRAMING_H

#include <string_view>
#include <utility>

namespace anvil {

/// How the end of a response's body is marked.
enum class BodyFraming {
  /// There is no body, or no response yet.
  None,
  /// The head gives the length.
  Length,
  /// The body comes in chunks; an empty one ends it.
  Chunks,
  /// The body ends with the connection, so its end does not show whether the
  /// server has sent everything.
  UntilClose,
};

inline constexpr std::pair<BodyFraming, std::string_view> BodyFramingNames[] = {
    {BodyFraming::None, "none"},
    {BodyFraming::Length, "length"},
    {BodyFraming::Chunks, "chunks"},
    {BodyFraming::UntilClose, "until_close"},
};

} // namespace anvil

#endif // ANVIL_HTTP_BODYFRAMING_H
