#include "TableService/PlatformCodec.h"

#include "Kernel/BoundedJson.h"

#include <nlohmann/json.hpp>

namespace anvil {

using nlohmann::json;

static Error decodeError(const char *Subject, const std::exception &Problem) {
  return {ErrorCode::Protocol, Subject, Problem.what(), ""};
}

/// Runs `Read` on the parsed text; the library's exceptions become errors.
template <class Value, class Reader>
static Result<Value> decodeWith(const char *Subject, std::string_view Text,
                                Reader Read) {
  auto Parsed = parseBounded(Text);
  if (!isOk(Parsed))
    return errorOf(Parsed);
  try {
    return Read(valueOf(Parsed));
  } catch (const json::exception &Problem) {
    return decodeError(Subject, Problem);
  }
}

std::string encodeQuery(const TableQuery &Query) {
  return json{{"keys", Query.Keys_},
              {"prefix", Query.Prefix_},
              {"after", Query.After_},
              {"limit", Query.Limit_}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<TableQuery> decodeQuery(std::string_view Text) {
  return decodeWith<TableQuery>("table query", Text, [](const json &Source) {
    TableQuery Query;
    Source.at("keys").get_to(Query.Keys_);
    Source.at("prefix").get_to(Query.Prefix_);
    Source.at("after").get_to(Query.After_);
    Source.at("limit").get_to(Query.Limit_);
    return Query;
  });
}

static json rowsToJson(const std::vector<TableRow> &Rows) {
  json List = json::array();
  for (const TableRow &Row : Rows)
    List.push_back(
        {{"key", Row.Key_}, {"value", Row.Value_}, {"version", Row.Version_}});
  return List;
}

static std::vector<TableRow> rowsFromJson(const json &List) {
  std::vector<TableRow> Rows;
  for (const json &Item : List) {
    TableRow &Row = Rows.emplace_back();
    Item.at("key").get_to(Row.Key_);
    Item.at("value").get_to(Row.Value_);
    Item.at("version").get_to(Row.Version_);
  }
  return Rows;
}

std::string encodeRows(const std::vector<TableRow> &Rows) {
  return json{{"rows", rowsToJson(Rows)}}.dump(-1, ' ', false,
                                               json::error_handler_t::replace);
}

Result<std::vector<TableRow>> decodeRows(std::string_view Text) {
  return decodeWith<std::vector<TableRow>>(
      "table rows", Text,
      [](const json &Source) { return rowsFromJson(Source.at("rows")); });
}

std::string encodeTransaction(const TableTransaction &Transaction) {
  json Checks = json::array();
  for (const RowCheck &Check : Transaction.Checks_)
    Checks.push_back({{"key", Check.Key_}, {"version", Check.Version_}});
  json Writes = json::array();
  for (const RowWrite &Write : Transaction.Writes_) {
    json Item{{"key", Write.Key_}, {"value", nullptr}};
    if (Write.Value_)
      Item["value"] = *Write.Value_;
    Writes.push_back(std::move(Item));
  }
  return json{{"checks", Checks}, {"writes", Writes}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

Result<TableTransaction> decodeTransaction(std::string_view Text) {
  return decodeWith<TableTransaction>(
      "table transaction", Text, [](const json &Source) {
        TableTransaction Transaction;
        for (const json &Item : Source.at("checks")) {
          RowCheck &Check = Transaction.Checks_.emplace_back();
          Item.at("key").get_to(Check.Key_);
          Item.at("version").get_to(Check.Version_);
        }
        for (const json &Item : Source.at("writes")) {
          RowWrite &Write = Transaction.Writes_.emplace_back();
          Item.at("key").get_to(Write.Key_);
          if (!Item.at("value").is_null())
            Write.Value_ = Item.at("value").get<std::string>();
        }
        return Transaction;
      });
}

HttpReply encodeOutcome(const CommitOutcome &Outcome) {
  if (Outcome.Result_ == CommitResult::Committed)
    return jsonReply(200, json{{"version", Outcome.Version_}}.dump(
                              -1, ' ', false, json::error_handler_t::replace));
  return jsonReply(409, json{{"rows", rowsToJson(Outcome.Conflicts_)}}.dump(
                            -1, ' ', false, json::error_handler_t::replace));
}

CommitOutcome decodeOutcome(const HttpReply &Reply) {
  CommitOutcome Outcome;
  Outcome.Result_ = CommitResult::Ambiguous;
  Outcome.Detail_ = "status " + std::to_string(Reply.Status_);
  if (Reply.Status_ == 429 || Reply.Status_ == 503 || Reply.Status_ == 400) {
    Outcome.Result_ = CommitResult::Unavailable;
    return Outcome;
  }
  auto Parsed = parseBounded(Reply.Body_);
  if (!isOk(Parsed)) {
    Outcome.Detail_ = errorOf(Parsed).describe();
    return Outcome;
  }
  const json &Source = valueOf(Parsed);
  try {
    if (Reply.Status_ == 200) {
      Source.at("version").get_to(Outcome.Version_);
      Outcome.Result_ = CommitResult::Committed;
    } else if (Reply.Status_ == 409) {
      Outcome.Conflicts_ = rowsFromJson(Source.at("rows"));
      Outcome.Result_ = CommitResult::Conflict;
    }
  } catch (const json::exception &Problem) {
    Outcome.Detail_ = Problem.what();
  }
  return Outcome;
}

std::string encodeVms(const std::vector<VmRecord> &Vms) {
  json List = json::array();
  for (const VmRecord &Vm : Vms)
    List.push_back({{"name", Vm.Name_},
                    {"data_centre", Vm.DataCentre_},
                    {"address", Vm.Address_},
                    {"leaving", Vm.State_ == VmState::Leaving}});
  return json{{"vms", List}}.dump(-1, ' ', false,
                                  json::error_handler_t::replace);
}

Result<std::vector<VmRecord>> decodeVms(std::string_view Text) {
  return decodeWith<std::vector<VmRecord>>(
      "list of VMs", Text, [](const json &Source) {
        std::vector<VmRecord> Vms;
        for (const json &Item : Source.at("vms")) {
          VmRecord &Vm = Vms.emplace_back();
          Item.at("name").get_to(Vm.Name_);
          Item.at("data_centre").get_to(Vm.DataCentre_);
          Item.at("address").get_to(Vm.Address_);
          if (Item.value("leaving", false))
            Vm.State_ = VmState::Leaving;
        }
        return Vms;
      });
}

} // namespace anvil
