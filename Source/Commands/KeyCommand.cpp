#include "Commands/KeyCommand.h"

#include "Objects/ChangeSet.h"
#include "Objects/Digest.h"
#include "Objects/ObjectCodec.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

/// The random part of a secret, in bytes.
static constexpr std::size_t SecretBytes = 32;

void KeyCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("action", options::value<std::string>()->required(), "issue or withdraw");
  Add("key", options::value<std::string>()->required(), "the key's name");
  Add("customer", options::value<std::string>()->default_value(""),
      "whose key it is; for issue");
  Arguments.add("action", 1);
  Arguments.add("key", 1);
}

static ExitStatus publishKey(CommandContext &Context, const Key &Changed,
                             const json &Shown) {
  ChangeSet Change;
  Change.SubmitId_ = randomHex(16);
  Change.Put_.push_back(Changed);
  auto Reply =
      Context.Client_.post("/admin/config/apply", encodeChangeSet(Change));
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  json Published = json::parse(valueOf(Reply).Body_, nullptr, false);
  json Result = Shown;
  Result["revision"] = Published["revision"];
  if (Context.Output_ == OutputFormat::Json) {
    std::cout << Result.dump() << "\n";
    return Status;
  }
  for (const auto &[Field, Value] : Result.items())
    std::cout << Field << "\t"
              << (Value.is_string() ? Value.get<std::string>() : Value.dump())
              << "\n";
  return Status;
}

ExitStatus KeyCommand::issue(CommandContext &Context,
                             const std::string &KeyName) {
  std::string Secret = "aj-" + randomHex(SecretBytes);
  Key Made;
  Made.Name_ = KeyName;
  Made.Customer_ = Context.Options_["customer"].as<std::string>();
  Made.Sha256_ = sha256Hex(Secret);
  return publishKey(Context, Made, {{"key", KeyName}, {"secret", Secret}});
}

ExitStatus KeyCommand::withdraw(CommandContext &Context,
                                const std::string &KeyName) {
  auto Reply = Context.Client_.get("/admin/config");
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  auto Snapshot = decodeSnapshot(valueOf(Reply).Body_);
  const Key *Known =
      isOk(Snapshot) ? valueOf(Snapshot).Objects_.find<Key>(KeyName) : nullptr;
  if (!Known) {
    printError({ErrorCode::NotFound, "key " + KeyName, "doesn't exist",
                "see anvilctl get key"});
    return ExitStatus::Refused;
  }
  Key Withdrawn = *Known;
  Withdrawn.Withdrawn_ = true;
  return publishKey(Context, Withdrawn,
                    {{"key", KeyName}, {"withdrawn", true}});
}

ExitStatus KeyCommand::run(CommandContext &Context) const {
  auto Action = Context.Options_["action"].as<std::string>();
  auto KeyName = Context.Options_["key"].as<std::string>();
  if (Action == "issue")
    return issue(Context, KeyName);
  if (Action == "withdraw")
    return withdraw(Context, KeyName);
  printError({ErrorCode::InvalidInput, "key", "has no action " + Action,
              "use issue or withdraw"});
  return ExitStatus::Usage;
}

} // namespace anvil
