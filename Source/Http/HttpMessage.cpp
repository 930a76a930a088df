#include "Http/HttpMessage.h"

#include <algorithm>

namespace anvil {

static char lowerCase(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

bool sameHeaderName(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, {}, lowerCase, lowerCase);
}

void HttpHeaders::add(std::string_view Name, std::string_view Value) {
  Headers_.push_back({std::string(Name), std::string(Value)});
}

std::optional<std::string_view> HttpHeaders::find(std::string_view Name) const {
  for (const HttpHeader &Header : Headers_)
    if (sameHeaderName(Header.Name_, Name))
      return Header.Value_;
  return std::nullopt;
}

std::string_view HttpRequest::path() const {
  std::string_view Whole = Target_;
  return Whole.substr(0, Whole.find('?'));
}

std::string_view HttpRequest::query(std::string_view Name) const {
  std::string_view Rest = Target_;
  auto Mark = Rest.find('?');
  while (Mark != std::string_view::npos) {
    Rest = Rest.substr(Mark + 1);
    std::string_view Pair = Rest.substr(0, Rest.find('&'));
    auto Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos ? std::string_view{}
                                              : Pair.substr(Equals + 1);
    Mark = Rest.find('&');
  }
  return {};
}

HttpReply jsonReply(int Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace anvil
