#include "Kernel/BoundedJson.h"

#include <string>

namespace anvil {

using nlohmann::json;

std::optional<JsonProblem> exceededLimit(std::string_view Text,
                                         const JsonLimits &Limits) {
  if (Text.size() > Limits.Bytes_)
    return JsonProblem::TooLong;
  std::size_t Depth = 0;
  // Each value but the first follows a comma, a colon or an opening bracket.
  // Names of members are counted too, since each takes memory of its own.
  std::size_t Values = 1;
  bool InString = false;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    char Letter = Text[Index];
    if (InString) {
      if (Letter == '\\')
        ++Index;
      InString = Letter != '"';
      continue;
    }
    switch (Letter) {
    case '"':
      InString = true;
      break;
    case '[':
    case '{':
      if (++Depth > Limits.Depth_)
        return JsonProblem::TooDeep;
      [[fallthrough]];
    case ',':
    case ':':
      if (++Values > Limits.Values_)
        return JsonProblem::TooManyValues;
      break;
    case ']':
    case '}':
      Depth -= Depth > 0;
      break;
    default:
      break;
    }
  }
  return std::nullopt;
}

Result<json> parseBounded(std::string_view Text, const JsonLimits &Limits) {
  auto Problem = exceededLimit(Text, Limits);
  ErrorCode Code = Problem ? ErrorCode::TooLarge : ErrorCode::Protocol;
  if (!Problem) {
    json Parsed = json::parse(Text, nullptr, false);
    if (!Parsed.is_discarded())
      return Parsed;
  }
  return Error{Code, "JSON of " + std::to_string(Text.size()) + " bytes",
               std::string(enumName(Problem.value_or(JsonProblem::Malformed),
                                    JsonProblemNames)),
               ""};
}

json parseOrDiscard(std::string_view Text, const JsonLimits &Limits) {
  auto Parsed = parseBounded(Text, Limits);
  if (isOk(Parsed))
    return std::move(valueOf(Parsed));
  return json(json::value_t::discarded);
}

} // namespace anvil
