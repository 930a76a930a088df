#ifndef ANVIL_SERVING_EVENTSPLITTER_H
#define ANVIL_SERVING_EVENTSPLITTER_H

#include <string>
#include <string_view>

namespace anvil {

/// Cuts a stream of server-sent events into whole events, so that a stream can
/// go on elsewhere after the last one that the caller has got.
class EventSplitter {
public:
  /// Adds bytes and returns all events that are whole now, as they came.
  std::string feed(std::string_view Bytes);

  /// Bytes of an event that is not whole yet.
  const std::string &rest() const { return Rest_; }

  /// Drops the bytes of a broken event.
  void dropRest() { Rest_.clear(); }

  /// The id of the last whole event; empty before the first.
  const std::string &lastId() const { return LastId_; }

private:
  void readIds(std::string_view Events);

  std::string Rest_;
  std::string LastId_;
};

} // namespace anvil

#endif // ANVIL_SERVING_EVENTSPLITTER_H
