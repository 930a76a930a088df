#include "Commands/KeyCommand.h"

#include "Commands/CommandSupport.h"
#include "Objects/Digest.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

/// Size of the random part of a secret, in bytes.
static constexpr std::size_t SecretBytes = 32;

void KeyCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("action", options::value<std::string>()->required(), "issue or withdraw");
  Add("key", options::value<std::string>()->required(), "the key's name");
  Add("customer", options::value<std::string>()->default_value(""),
      "whose key it is; used by issue");
  Arguments.add("action", 1);
  Arguments.add("key", 1);
}

ExitStatus KeyCommand::issue(CommandContext &Context,
                             const std::string &KeyName) {
  std::string Secret = "aj-" + randomHex(SecretBytes);
  Key Issued;
  Issued.Name_ = KeyName;
  Issued.Customer_ = Context.Options_["customer"].as<std::string>();
  Issued.Sha256_ = sha256Hex(Secret);
  // The secret is shown only here; only its digest is published.
  return publishObject(Context, Issued,
                       json{{"key", KeyName}, {"secret", Secret}});
}

ExitStatus KeyCommand::withdraw(CommandContext &Context,
                                const std::string &KeyName) {
  auto Snapshot = readSnapshot(Context);
  if (auto *Failed = std::get_if<ExitStatus>(&Snapshot))
    return *Failed;
  const Key *Known =
      std::get<ConfigSnapshot>(Snapshot).Objects_.find<Key>(KeyName);
  if (!Known) {
    printError({ErrorCode::NotFound, "key " + KeyName, "doesn't exist",
                "see anvilctl get key"});
    return ExitStatus::Refused;
  }
  Key Withdrawn = *Known;
  Withdrawn.Withdrawn_ = true;
  return publishObject(Context, Withdrawn,
                       json{{"key", KeyName}, {"withdrawn", true}});
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
