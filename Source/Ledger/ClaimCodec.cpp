#include "Ledger/ClaimCodec.h"

#include "Kernel/EnumNames.h"

#include "Objects/Digest.h"
#include "Peer/BoundedUnpack.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

static ClaimState parseState(std::string_view Text) {
  for (const auto &[Known, Name] : ClaimStateNames)
    if (Name == Text)
      return Known;
  // Written by a later release: the outcome can't be determined here.
  return ClaimState::Unknown;
}

std::string encodeClaim(const ClaimRow &Row) {
  json Headers = json::array();
  for (const HttpHeader &Header : Row.Reply_.Headers_)
    Headers.push_back({Header.Name_, Header.Value_});
  json Document{{"state", enumName(Row.State_, ClaimStateNames)},
                {"digest", Row.Digest_},
                {"vm", Row.Vm_},
                {"incarnation", Row.Incarnation_},
                {"expires_at", Row.ExpiresAt_},
                {"status", Row.Reply_.Status_},
                {"headers", Headers},
                {"body", json::binary({Row.Reply_.Body_.begin(),
                                       Row.Reply_.Body_.end()})}};
  // The table stores text only, and the body may be binary.
  auto Bytes = json::to_msgpack(Document);
  return base64Encode(
      {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()});
}

Result<ClaimRow> decodeClaim(std::string_view Text) {
  auto Bytes = base64Decode(Text);
  if (!Bytes)
    return Error{ErrorCode::Protocol, "claim", "is not valid base64", ""};
  try {
    // The library's parser calls itself for each level, and takes lengths for
    // granted.
    unpackBounded(*Bytes);
    json Document = json::from_msgpack(*Bytes);
    ClaimRow Row;
    Row.State_ = parseState(Document.at("state").get<std::string>());
    Document.at("digest").get_to(Row.Digest_);
    Document.at("vm").get_to(Row.Vm_);
    Document.at("incarnation").get_to(Row.Incarnation_);
    Row.ExpiresAt_ = Document.value("expires_at", std::int64_t(0));
    Document.at("status").get_to(Row.Reply_.Status_);
    for (const json &Header : Document.at("headers"))
      Row.Reply_.Headers_.add(Header.at(0).get<std::string>(),
                              Header.at(1).get<std::string>());
    const auto &Body = Document.at("body").get_binary();
    Row.Reply_.Body_.assign(Body.begin(), Body.end());
    return Row;
  } catch (const std::exception &Problem) {
    return Error{ErrorCode::Protocol, "claim", Problem.what(), ""};
  }
}

} // namespace anvil
