#include "Commands/DiffCommand.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

void DiffCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("revision", options::value<std::uint64_t>()->required(),
      "the older revision");
  Arguments.add("revision", 1);
}

ExitStatus DiffCommand::run(CommandContext &Context) const {
  auto Revision = Context.Options_["revision"].as<std::uint64_t>();
  auto Reply = Context.Client_.get("/admin/config/diff?from=" +
                                   std::to_string(Revision));
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  const std::string &Body = valueOf(Reply).Body_;
  if (Context.Output_ == OutputFormat::Json) {
    std::cout << Body << "\n";
    return Status;
  }
  json Difference = json::parse(Body, nullptr, false);
  for (const json &Object : Difference["put"])
    std::cout << "put\t" << Object.dump() << "\n";
  for (const json &Object : Difference["remove"])
    std::cout << "remove\t" << Object.value("kind", "") << "\t"
              << Object.value("name", "") << "\n";
  return Status;
}

} // namespace anvil
