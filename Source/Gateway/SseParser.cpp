#include "Gateway/SseParser.h"

namespace anvil {

/// Returns the data lines of one event, joined by line feeds.
static std::string eventData(std::string_view Event) {
  std::string Data;
  while (!Event.empty()) {
    std::string_view Line = Event.substr(0, Event.find('\n'));
    Event.remove_prefix(std::min(Event.size(), Line.size() + 1));
    if (!Line.empty() && Line.back() == '\r')
      Line.remove_suffix(1);
    constexpr std::string_view Field = "data:";
    if (!Line.starts_with(Field))
      continue;
    Line.remove_prefix(Field.size());
    if (Line.starts_with(' '))
      Line.remove_prefix(1);
    if (!Data.empty())
      Data += '\n';
    Data += Line;
  }
  return Data;
}

/// Returns the end of the first complete event, including its blank line, or
/// `npos`.
static std::size_t findEventEnd(std::string_view Bytes) {
  std::size_t Plain = Bytes.find("\n\n");
  std::size_t Wide = Bytes.find("\r\n\r\n");
  if (Wide < Plain)
    return Wide + 4;
  return Plain == std::string_view::npos ? Plain : Plain + 2;
}

Result<std::vector<std::string>> SseParser::feed(std::string_view Piece) {
  Buffer_ += Piece;
  std::vector<std::string> Events;
  std::string_view View = Buffer_;
  for (std::size_t End = findEventEnd(View); End != std::string_view::npos;
       End = findEventEnd(View)) {
    std::string Data = eventData(View.substr(0, End));
    if (!Data.empty())
      Events.push_back(std::move(Data));
    View.remove_prefix(End);
  }
  Buffer_ = std::string(View);
  if (Buffer_.size() > EventLimitBytes)
    return Error{ErrorCode::TooLarge, "event stream",
                 "event exceeds the size limit", ""};
  return Events;
}

} // namespace anvil
