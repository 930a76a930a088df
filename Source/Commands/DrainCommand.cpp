#include "Commands/DrainCommand.h"

#include "Commands/CommandSupport.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

void DrainCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("what", options::value<std::string>()->required(), "target or vm");
  Add("target", options::value<std::string>()->default_value(""),
      "the target's name");
  Arguments.add("what", 1);
  Arguments.add("target", 1);
}

ExitStatus DrainCommand::drainTarget(CommandContext &Context,
                                     const std::string &TargetName) {
  auto Snapshot = readSnapshot(Context);
  if (auto *Failed = std::get_if<ExitStatus>(&Snapshot))
    return *Failed;
  const Target *Known =
      std::get<ConfigSnapshot>(Snapshot).Objects_.find<Target>(TargetName);
  if (!Known) {
    printError({ErrorCode::NotFound, "target " + TargetName, "doesn't exist",
                "see anvilctl get target"});
    return ExitStatus::Refused;
  }
  Target Leaving = *Known;
  Leaving.Leaving_ = true;
  return publishObject(Context, Leaving,
                       json{{"target", TargetName}, {"leaving", true}});
}

ExitStatus DrainCommand::run(CommandContext &Context) const {
  auto What = Context.Options_["what"].as<std::string>();
  if (What == "target")
    return drainTarget(Context, Context.Options_["target"].as<std::string>());
  if (What != "vm") {
    printError({ErrorCode::InvalidInput, "drain", "can't drain a " + What,
                "use target or vm"});
    return ExitStatus::Usage;
  }
  auto Reply = Context.Client_.post("/admin/drain", "");
  ExitStatus Status = reportReply(Reply);
  if (Status == ExitStatus::Success)
    printRecord(Context, json{{"vm", "draining"}});
  return Status;
}

} // namespace anvil
