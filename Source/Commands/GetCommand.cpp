#include "Commands/GetCommand.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

void GetCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("kind", options::value<std::string>()->default_value(""),
      "only objects of this kind");
  Add("object", options::value<std::string>()->default_value(""),
      "only the object of this name");
  Arguments.add("kind", 1);
  Arguments.add("object", 1);
}

/// Prints one object per line: kind, name and the other fields.
static void printRow(json Object) {
  std::cout << Object.value("kind", "") << "\t" << Object.value("name", "");
  Object.erase("kind");
  Object.erase("name");
  for (const auto &[Field, Value] : Object.items())
    std::cout << "\t" << Field << "=" << Value.dump();
  std::cout << "\n";
}

ExitStatus GetCommand::run(CommandContext &Context) const {
  auto Reply = Context.Client_.get("/admin/config");
  ExitStatus Status = reportReply(Reply);
  if (Status != ExitStatus::Success)
    return Status;
  auto Kind = Context.Options_["kind"].as<std::string>();
  auto Name = Context.Options_["object"].as<std::string>();
  json Snapshot = json::parse(valueOf(Reply).Body_, nullptr, false);
  json Matching = json::array();
  for (const json &Object : Snapshot["objects"])
    if ((Kind.empty() || Object.value("kind", "") == Kind) &&
        (Name.empty() || Object.value("name", "") == Name))
      Matching.push_back(Object);
  if (Context.Output_ == OutputFormat::Json) {
    Snapshot["objects"] = Matching;
    std::cout << Snapshot.dump() << "\n";
  } else {
    std::cout << "revision " << Snapshot["revision"] << "\n";
    for (const json &Object : Matching)
      printRow(Object);
  }
  if (!Name.empty() && Matching.empty()) {
    printError({ErrorCode::NotFound, Kind + " " + Name, "doesn't exist",
                "see anvilctl get " + Kind});
    return ExitStatus::Refused;
  }
  return Status;
}

} // namespace anvil
