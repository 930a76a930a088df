#include "Serving/StreamEnding.h"

#include <algorithm>

namespace anvil {

/// The longest end of a line and an empty line: two pairs of CR and LF.
static constexpr std::size_t TailBytes = 4;

void StreamEndCheck::append(std::string_view Bytes) {
  Tail_ += Bytes.substr(Bytes.size() - std::min(Bytes.size(), TailBytes));
  if (Tail_.size() > TailBytes)
    Tail_.erase(0, Tail_.size() - TailBytes);
}

/// Removes the line end from the end of the text. False if it has none.
static bool removeLineEnd(std::string_view &Text) {
  bool HasLineFeed = Text.ends_with('\n');
  if (HasLineFeed)
    Text.remove_suffix(1);
  bool HasReturn = Text.ends_with('\r');
  if (HasReturn)
    Text.remove_suffix(1);
  return HasLineFeed || HasReturn;
}

StreamEnding StreamEndCheck::ending(bool EndsWithConnection) const {
  if (Tail_.empty())
    return EndsWithConnection ? StreamEnding::Empty : StreamEnding::Complete;
  std::string_view Rest = Tail_;
  bool IsWhole = removeLineEnd(Rest) && (Rest.empty() || removeLineEnd(Rest));
  return IsWhole ? StreamEnding::Complete : StreamEnding::InsideEvent;
}

} // namespace anvil
