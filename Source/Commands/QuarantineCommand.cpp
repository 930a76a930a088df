#include "Commands/QuarantineCommand.h"

#include "Commands/CommandSupport.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

void QuarantineCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("action", options::value<std::string>()->required(), "list or clear");
  Add("digest", options::value<std::string>()->default_value(""),
      "the request's digest; used by clear");
  Arguments.add("action", 1);
  Arguments.add("digest", 1);
}

static void printQuarantine(const json &Page) {
  for (const auto &[Title, Rows] : Page.items())
    for (const json &Row : Rows) {
      std::cout << Title;
      for (const auto &[Field, Value] : Row.items())
        std::cout << "\t" << Field << "=" << cellText(Value);
      std::cout << "\n";
    }
}

ExitStatus QuarantineCommand::run(CommandContext &Context) const {
  auto Action = Context.Options_["action"].as<std::string>();
  auto Digest = Context.Options_["digest"].as<std::string>();
  if (Action == "list")
    return showPage(Context, "/admin/quarantine", printQuarantine);
  if (Action != "clear" || Digest.empty()) {
    printError({ErrorCode::InvalidInput, "quarantine",
                "needs list, or clear and a digest",
                "see anvilctl quarantine list"});
    return ExitStatus::Usage;
  }
  auto Reply =
      Context.Client_.post("/admin/quarantine/clear?digest=" + Digest, "");
  ExitStatus Status = reportReply(Reply);
  if (Status == ExitStatus::Success)
    printRecord(Context, json{{"cleared", Digest}});
  return Status;
}

} // namespace anvil
