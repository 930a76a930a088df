#ifndef ANVIL_SERVING_EVENTSPLITTER_H
#define ANVIL_SERVING_EVENTSPLITTER_H

#include <string>
#include <string_view>

namespace anvil {

/// Splits a stream of server-sent events into complete events, so that the
/// stream can be resumed at another target after the last event that the caller
/// has received.
class EventSplitter {
public:
  /// Adds bytes and returns all events that are now complete, byte for byte.
  std::string appendBytes(std::string_view Bytes);

  /// The bytes of an incomplete event.
  const std::string &incompleteEvent() const { return Incomplete_; }

  /// Drops the bytes of an incomplete event.
  void dropIncompleteEvent() { Incomplete_.clear(); }

  /// The id of the last complete event that had one; empty before the first.
  const std::string &lastId() const { return LastId_; }

private:
  void readIds(std::string_view Events);

  std::string Incomplete_;
  std::string LastId_;
};

} // namespace anvil

#endif // ANVIL_SERVING_EVENTSPLITTER_H
