#ifndef ANVIL_GATEWAY_SSEPARSER_H
#define ANVIL_GATEWAY_SSEPARSER_H

#include "Kernel/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// Incremental parser for server-sent events: takes a stream in chunks of any
/// size and returns the data of complete events.
class SseParser {
public:
  /// The maximum size of an incomplete event.
  static constexpr std::size_t EventLimitBytes = 1024 * 1024;

  /// Adds a chunk and returns the data of the events that it completes. Errors:
  /// too large.
  Result<std::vector<std::string>> feed(std::string_view Piece);

  /// The number of buffered bytes, which belong to an incomplete event.
  std::size_t incompleteBytes() const { return Buffer_.size(); }

  /// Whether the last chunk ended at the end of an event.
  bool betweenEvents() const { return Buffer_.empty(); }

private:
  std::string Buffer_;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_SSEPARSER_H
