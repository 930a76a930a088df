#include "Placement/EngineCodec.h"

#include "Kernel/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

static HttpRequest encodeOrder(std::string Path, const json &Body,
                               std::uint64_t FencingToken) {
  HttpRequest Request{
      "POST",
      std::move(Path),
      {{"Content-Type", "application/json"}},
      Body.dump(-1, ' ', false, json::error_handler_t::replace)};
  Request.Headers_.add(FencingHeader, std::to_string(FencingToken));
  return Request;
}

HttpRequest encodeLoadOrder(const AdapterRef &Adapter,
                            const std::string &Weights,
                            std::uint64_t FencingToken) {
  json Body{{"lora_name", Adapter.text()}, {"lora_path", Weights}};
  return encodeOrder("/v1/load_lora_adapter", Body, FencingToken);
}

HttpRequest encodeUnloadOrder(const AdapterRef &Adapter,
                              std::uint64_t FencingToken) {
  return encodeOrder("/v1/unload_lora_adapter",
                     json{{"lora_name", Adapter.text()}}, FencingToken);
}

Status decodeOrderReply(const HttpReply &Reply) {
  if (Reply.Status_ == 200)
    return std::monostate{};
  ErrorCode Code = ErrorCode::Unavailable;
  if (Reply.Status_ == 412)
    Code = ErrorCode::Refused;
  else if (Reply.Status_ == 507)
    Code = ErrorCode::TooLarge;
  else if (Reply.Status_ == 404)
    Code = ErrorCode::NotFound;
  return Error{Code, "engine order",
               "answered status " + std::to_string(Reply.Status_), ""};
}

std::string encodeEngineStatus(const EngineStatus &Status) {
  json Resident = json::array();
  for (const ResidentAdapter &Adapter : Status.Resident_)
    Resident.push_back(
        {{"name", Adapter.Name_}, {"running", Adapter.Running_}});
  return json{{"incarnation", Status.Incarnation_},
              {"running", Status.Running_},
              {"waiting", Status.Waiting_},
              {"resident", Resident}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<EngineStatus> decodeEngineStatus(std::string_view Text) {
  auto Parsed = parseBounded(Text);
  if (!isOk(Parsed))
    return errorOf(Parsed);
  const json &Source = valueOf(Parsed);
  try {
    EngineStatus Status;
    Source.at("incarnation").get_to(Status.Incarnation_);
    Source.at("running").get_to(Status.Running_);
    Source.at("waiting").get_to(Status.Waiting_);
    for (const json &Item : Source.at("resident")) {
      ResidentAdapter &Adapter = Status.Resident_.emplace_back();
      Item.at("name").get_to(Adapter.Name_);
      Item.at("running").get_to(Adapter.Running_);
    }
    return Status;
  } catch (const json::exception &Problem) {
    return Error{ErrorCode::Protocol, "engine status", Problem.what(), ""};
  }
}

} // namespace anvil
