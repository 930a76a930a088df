#include "Config/ConfigHead.h"

#include "Kernel/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

std::string encodeHead(const ConfigHead &Head) {
  return json{{"revision", Head.Revision_},
              {"object", Head.Object_},
              {"submit_id", Head.SubmitId_}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<ConfigHead> decodeHead(std::string_view Text) {
  ConfigHead Head;
  if (Text.empty())
    return Head;
  auto Parsed = parseBounded(Text);
  if (!isOk(Parsed))
    return errorOf(Parsed);
  const json &Source = valueOf(Parsed);
  try {
    Source.at("revision").get_to(Head.Revision_);
    Source.at("object").get_to(Head.Object_);
    Source.at("submit_id").get_to(Head.SubmitId_);
  } catch (const json::exception &Problem) {
    return Error{ErrorCode::Protocol, std::string(ConfigHead::Row),
                 Problem.what(), ""};
  }
  return Head;
}

std::string submitRow(const std::string &SubmitId) {
  return "config/submit/" + SubmitId;
}

std::string historyRow(std::uint64_t Revision) {
  // Padded with zeros, so that keys sort by revision.
  constexpr std::size_t Width = 12;
  std::string Digits = std::to_string(Revision);
  Digits.insert(0, Width - std::min(Width, Digits.size()), '0');
  return std::string(HistoryPrefix) + Digits;
}

} // namespace anvil
