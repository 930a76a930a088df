#include "Commands/ApplyCommand.h"

#include "Settings/SettingsFile.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

namespace options = boost::program_options;

void ApplyCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("file", options::value<std::string>()->required(),
      "the change set, JSON with comments");
  Add("dry-run", options::bool_switch(), "only check and show the difference");
  Arguments.add("file", 1);
}

ExitStatus ApplyCommand::run(CommandContext &Context) const {
  auto Text = readTextFile(Context.Options_["file"].as<std::string>());
  if (!isOk(Text)) {
    printError(errorOf(Text));
    return ExitStatus::Usage;
  }
  bool DryRun = Context.Options_["dry-run"].as<bool>();
  std::string Page = "/admin/config/apply";
  if (DryRun)
    Page += "?dry_run=1";
  auto Reply = Context.Client_.post(Page, valueOf(Text));
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  const std::string &Body = valueOf(Reply).Body_;
  if (Context.Output_ == OutputFormat::Json) {
    std::cout << Body << "\n";
    return Status;
  }
  auto Published = nlohmann::json::parse(Body, nullptr, false);
  const auto &Difference = Published["difference"];
  std::cout << (DryRun ? "would become revision " : "published revision ")
            << Published["revision"] << ": " << Difference["put"].size()
            << " put, " << Difference["remove"].size() << " removed\n";
  return Status;
}

} // namespace anvil
