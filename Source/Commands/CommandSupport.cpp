#include "Commands/CommandSupport.h"

#include "Objects/ChangeSet.h"
#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

using nlohmann::json;

std::string cellText(const json &Value) {
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

void printRecord(const CommandContext &Context, const json &Record) {
  if (Context.Output_ == OutputFormat::Json) {
    std::cout << Record.dump() << "\n";
    return;
  }
  for (const auto &[Field, Value] : Record.items())
    std::cout << Field << "\t" << cellText(Value) << "\n";
}

std::variant<ConfigSnapshot, ExitStatus> readSnapshot(CommandContext &Context) {
  auto Reply = Context.Client_.get("/admin/config");
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  auto Snapshot = decodeSnapshot(valueOf(Reply).Body_);
  if (isOk(Snapshot))
    return std::move(valueOf(Snapshot));
  printError(errorOf(Snapshot));
  return ExitStatus::Unavailable;
}

ExitStatus showPage(CommandContext &Context, const std::string &Target,
                    const std::function<void(const json &)> &PrintTable) {
  auto Reply = Context.Client_.get(Target);
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  const std::string &Body = valueOf(Reply).Body_;
  if (Context.Output_ == OutputFormat::Json)
    std::cout << Body << "\n";
  else
    PrintTable(json::parse(Body, nullptr, false));
  return Status;
}

ExitStatus publishObject(CommandContext &Context, AnyObject Changed,
                         json Record) {
  ChangeSet Change;
  Change.SubmitId_ = randomHex(16);
  Change.Put_.push_back(std::move(Changed));
  auto Reply =
      Context.Client_.post("/admin/config/apply", encodeChangeSet(Change));
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  json Published = json::parse(valueOf(Reply).Body_, nullptr, false);
  Record["revision"] = Published["revision"];
  printRecord(Context, Record);
  return Status;
}

} // namespace anvil
