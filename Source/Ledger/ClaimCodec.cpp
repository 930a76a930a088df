#include "Ledger/ClaimCodec.h"

#include "Kernel/EnumNames.h"

#include "Objects/Digest.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

static ClaimState parseState(std::string_view Text) {
  for (const auto &[Known, Name] : ClaimStateNames)
    if (Name == Text)
      return Known;
  // A state of a later release: what happened can't be told here.
  return ClaimState::Unknown;
}

std::string encodeClaim(const ClaimRow &Row) {
  json Headers = json::array();
  for (const HttpHeader &Header : Row.Answer_.Headers_)
    Headers.push_back({Header.Name_, Header.Value_});
  json Whole{{"state", enumName(Row.State_, ClaimStateNames)},
             {"digest", Row.Digest_},
             {"vm", Row.Vm_},
             {"incarnation", Row.Incarnation_},
             {"expires_at", Row.ExpiresAt_},
             {"status", Row.Answer_.Status_},
             {"headers", Headers},
             {"body", json::binary({Row.Answer_.Body_.begin(),
                                    Row.Answer_.Body_.end()})}};
  // The body may be no text, and the table's values must be.
  auto Bytes = json::to_msgpack(Whole);
  return base64Encode(
      {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
}

Result<ClaimRow> decodeClaim(std::string_view Text) {
  auto Bytes = base64Decode(Text);
  if (!Bytes)
    return Error{ErrorCode::Protocol, "claim", "is not base64", ""};
  try {
    json Source = json::from_msgpack(*Bytes);
    ClaimRow Row;
    Row.State_ = parseState(Source.at("state").get<std::string>());
    Source.at("digest").get_to(Row.Digest_);
    Source.at("vm").get_to(Row.Vm_);
    Source.at("incarnation").get_to(Row.Incarnation_);
    Row.ExpiresAt_ = Source.value("expires_at", std::int64_t(0));
    Source.at("status").get_to(Row.Answer_.Status_);
    for (const json &Header : Source.at("headers"))
      Row.Answer_.Headers_.add(Header.at(0).get<std::string>(),
                               Header.at(1).get<std::string>());
    const auto &Body = Source.at("body").get_binary();
    Row.Answer_.Body_.assign(Body.begin(), Body.end());
    return Row;
  } catch (const json::exception &Problem) {
    return Error{ErrorCode::Protocol, "claim", Problem.what(), ""};
  }
}

} // namespace anvil
