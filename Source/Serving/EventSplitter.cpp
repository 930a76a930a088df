#include "Serving/EventSplitter.h"

namespace anvil {

std::string EventSplitter::appendBytes(std::string_view Bytes) {
  // What was there holds no end of an event, but may end with half of one.
  std::size_t Searched = Incomplete_.size() - (Incomplete_.empty() ? 0 : 1);
  Incomplete_ += Bytes;
  auto End = std::string_view(Incomplete_).substr(Searched).rfind("\n\n");
  if (End == std::string_view::npos)
    return {};
  End += Searched;
  std::string Complete = Incomplete_.substr(0, End + 2);
  Incomplete_.erase(0, End + 2);
  readIds(Complete);
  return Complete;
}

void EventSplitter::readIds(std::string_view Events) {
  static constexpr std::string_view Field = "id:";
  auto Begin = Events.rfind("\nid:");
  if (Begin != std::string_view::npos)
    Begin += 1;
  else if (Events.starts_with(Field))
    Begin = 0;
  else
    return;
  auto Value = Events.substr(Begin + Field.size());
  Value = Value.substr(0, Value.find('\n'));
  while (!Value.empty() && Value.front() == ' ')
    Value.remove_prefix(1);
  while (!Value.empty() && Value.back() == '\r')
    Value.remove_suffix(1);
  LastId_ = Value;
}

} // namespace anvil
