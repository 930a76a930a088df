#ifndef ANVIL_SERVING_STREAMENDING_H
#define ANVIL_SERVING_STREAMENDING_H

#include <string>
#include <string_view>
#include <utility>

namespace anvil {

/// How a stream of server-sent events ended.
enum class StreamEnding {
  Complete,
  /// The last event has no blank line after it: the target broke off.
  InsideEvent,
  /// The connection closed before the first byte and nothing else marked the
  /// end of the body.
  Empty,
  /// The transfer ended with an error.
  Error,
  /// The end was that of the connection, and nothing showed that the target's
  /// process outlived it.
  Unconfirmed,
};

inline constexpr std::pair<StreamEnding, std::string_view> StreamEndingNames[] =
    {
        {StreamEnding::Complete, "complete"},
        {StreamEnding::InsideEvent, "inside_event"},
        {StreamEnding::Empty, "empty"},
        {StreamEnding::Error, "error"},
        {StreamEnding::Unconfirmed, "unconfirmed"},
};

/// Follows one target's stream of server-sent events to tell whether its end is
/// the end of an event. Keeps only the last bytes. Lines may end with LF, CR or
/// both.
class StreamEndCheck {
public:
  /// Adds the bytes that the target sent next.
  void append(std::string_view Bytes);

  /// The ending of the stream if nothing follows and the transfer reported no
  /// error. `EndsWithConnection` says
  /// that only the end of the connection marked the end of the body.
  StreamEnding ending(bool EndsWithConnection) const;

private:
  std::string Tail_;
};

} // namespace anvil

#endif // ANVIL_SERVING_STREAMENDING_H
