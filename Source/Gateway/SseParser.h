#ifndef ANVIL_GATEWAY_SSEPARSER_H
#define ANVIL_GATEWAY_SSEPARSER_H

#include "Kernel/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace anvil {

/// Cuts a stream of server-sent events, given in pieces of any size, into the
/// data of whole events.
class SseParser {
public:
  /// The longest event that is accepted, in bytes.
  static constexpr std::size_t EventLimitBytes = 1024 * 1024;

  /// Takes a piece and gives the data of the events that it completes. Errors:
  /// too large.
  Result<std::vector<std::string>> feed(std::string_view Piece);

  /// The bytes at the end of the last piece that belong to no whole event yet.
  std::size_t unfinishedBytes() const { return Rest_.size(); }

  /// Whether the last piece ended between events.
  bool betweenEvents() const { return Rest_.empty(); }

private:
  std::string Rest_;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_SSEPARSER_H
