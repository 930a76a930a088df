#include "Standins/RowStoreStandin.h"

#include "Http/Pause.h"
#include "Objects/Digest.h"

namespace anvil {

namespace asio = boost::asio;
using nlohmann::json;

/// Decodes the percent escapes of a query value.
static std::string percentDecoded(std::string_view Text) {
  std::string Decoded;
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] == '%' && Index + 2 < Text.size()) {
      Decoded += static_cast<char>(
          std::stoi(std::string(Text.substr(Index + 1, 2)), nullptr, 16));
      Index += 2;
    } else {
      Decoded += Text[Index];
    }
  }
  return Decoded;
}

RowStoreStandin::RowStoreStandin(asio::any_io_executor Executor)
    : Server_(std::move(Executor), {},
              [this](HttpExchange &Exchange) { return handle(Exchange); }) {}

json RowStoreStandin::rowJson(const std::string &TableName,
                              const std::string &Key, const Row &Item) const {
  json Encoded = {{"Table", TableName},
                  {"part", ""},
                  {"Key", Key},
                  {"RowVersion", Item.Version_}};
  if (Item.Deleted_)
    Encoded["Deleted"] = true;
  else
    Encoded["Value"] = Item.Value_;
  return Encoded;
}

HttpReply RowStoreStandin::rowsReply(json Rows, bool HasMore) const {
  json Body = {{"Rows", std::move(Rows)},
               {"HasMore", HasMore},
               {"RowVersion", Version_},
               {"NowMs", toMillis(BootClock::now().time_since_epoch())}};
  return jsonReply(200, Body.dump());
}

HttpReply RowStoreStandin::get(const HttpRequest &Request) const {
  std::string Name = percentDecoded(Request.query("Table"));
  std::string From = percentDecoded(Request.query("From"));
  std::string To = percentDecoded(Request.query("To"));
  json Rows = json::array();
  auto Found = Tables_.find(Name);
  if (Found != Tables_.end())
    for (const auto &[Key, Item] : Found->second)
      if (!Item.Deleted_ && Key >= From && (To.empty() || Key < To))
        Rows.push_back(rowJson(Name, Key, Item));
  return rowsReply(std::move(Rows), false);
}

asio::awaitable<void> RowStoreStandin::feed(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  std::string Name = percentDecoded(Request.query("Table"));
  auto After = std::stoull(std::string(Request.query("after")));
  TimePoint Until =
      BootClock::now() + std::chrono::milliseconds(
                             std::stoll(std::string(Request.query("WaitMs"))));
  json Rows = json::array();
  while (true) {
    // It doesn't have the history from a version that it hasn't given out, or
    // before what it discarded.
    if (After > Version_ || After < HistoryFrom_) {
      HttpReply Gone = withEra(jsonReply(410, "{}"));
      co_await Exchange.respond(std::move(Gone));
      co_return;
    }
    for (const auto &[Key, Item] : Tables_[Name])
      if (Item.Version_ > After)
        Rows.push_back(rowJson(Name, Key, Item));
    if (!Rows.empty() || BootClock::now() >= Until ||
        Exchange.callerDisconnected())
      break;
    constexpr Duration PollInterval = std::chrono::milliseconds(10);
    co_await pauseFor(PollInterval);
  }
  HttpReply Reply = withEra(rowsReply(std::move(Rows), false));
  co_await Exchange.respond(std::move(Reply));
}

HttpReply RowStoreStandin::transact(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return jsonReply(400, "{}");
  json Current = json::array();
  bool Holds = true;
  for (const json &Check : Body["Precondition"]) {
    const Row &Item = Tables_[Check["Table"]][Check["Key"]];
    std::uint64_t Version = Item.Deleted_ ? 0 : Item.Version_;
    Holds = Holds && Version == Check["RowVersion"].get<std::uint64_t>();
    if (Version > 0)
      Current.push_back(rowJson(Check["Table"], Check["Key"], Item));
  }
  if (!Holds)
    return jsonReply(412, json{{"Rows", Current}}.dump());
  ++Version_;
  for (const json &Put : Body["Put"])
    Tables_[Put["Table"]][Put["Key"]] = {Put["Value"], Version_, false};
  for (const json &Drop : Body["Drop"])
    Tables_[Drop["Table"]][Drop["Key"]] = {"", Version_, true};
  return rowsReply(json::array(), false);
}

HttpReply RowStoreStandin::control(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return jsonReply(400, "{}");
  Down_ = Body.value("down", Down_);
  LoseReplies_ = Body.value("lose_answers", LoseReplies_);
  Era_ = Body.value("era", Era_);
  if (Body.value("forget", false))
    HistoryFrom_ = Version_;
  if (Body.value("copy", false)) {
    CopiedTables_ = Tables_;
    CopiedVersion_ = Version_;
  }
  if (Body.value("restore", false)) {
    Tables_ = CopiedTables_;
    Version_ = CopiedVersion_;
    ++Era_;
  }
  return jsonReply(200, "{}");
}

HttpReply RowStoreStandin::writeRow(const HttpRequest &Request) {
  json Body = json::parse(Request.Body_, nullptr, false);
  if (!Body.is_object())
    return jsonReply(400, "{}");
  ++Version_;
  Tables_[Body["Table"]][Body["Key"]] = {base64Encode(Body.value("Value", "")),
                                         Version_, Request.Method_ == "DELETE"};
  return jsonReply(200, "{}");
}

HttpReply RowStoreStandin::withEra(HttpReply Reply) const {
  if (Era_ > 0)
    Reply.Headers_.add("Store-Era", std::to_string(Era_));
  return Reply;
}

asio::awaitable<void> RowStoreStandin::handle(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  HttpReply Reply = jsonReply(404, "{}");
  if (Request.path() == "/control") {
    Reply = control(Request);
  } else if (Request.path() == "/row") {
    Reply = writeRow(Request);
  } else if (Down_) {
    Exchange.abort();
    co_return;
  } else if (Request.path() == "/api/rows-feed") {
    co_return co_await feed(Exchange);
  } else if (Request.path() == "/api/rows-get") {
    Reply = get(Request);
  } else if (Request.path() == "/api/rows-tx") {
    Reply = transact(Request);
    if (LoseReplies_ > 0) {
      --LoseReplies_;
      Exchange.abort();
      co_return;
    }
  }
  Reply = withEra(std::move(Reply));
  co_await Exchange.respond(std::move(Reply));
}

} // namespace anvil
