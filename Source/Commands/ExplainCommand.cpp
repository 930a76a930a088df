#include "Commands/ExplainCommand.h"

#include "Commands/RequestTrace.h"

#include <boost/program_options/value_semantic.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>

namespace anvil {

namespace options = boost::program_options;

void ExplainCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("id", options::value<std::string>()->required(), "the request's id");
  Add("file", options::value<std::vector<std::string>>(),
      "logs of VMs; standard input if none is given");
  Arguments.add("id", 1);
  Arguments.add("file", -1);
}

ExitStatus ExplainCommand::run(CommandContext &Context) const {
  RequestTrace Trace(Context.Options_["id"].as<std::string>());
  if (Context.Options_.count("file") == 0)
    Trace.read(std::cin);
  else
    for (const auto &Path :
         Context.Options_["file"].as<std::vector<std::string>>()) {
      std::ifstream Log(Path);
      if (!Log) {
        printError({ErrorCode::NotFound, Path,
                    std::string("can't be read: ") + std::strerror(errno),
                    "check the path and its permissions"});
        return ExitStatus::Usage;
      }
      Trace.read(Log);
    }
  auto Lines = Trace.lines();
  if (Context.Output_ == OutputFormat::Json) {
    nlohmann::json Page = {{"lines", Lines}, {"summary", Trace.summary()}};
    std::cout << Page.dump(2) << "\n";
  } else {
    for (const auto &Line : Lines)
      std::cout << Line.dump() << "\n";
    std::cout << Trace.summary() << "\n";
  }
  return Lines.empty() ? ExitStatus::Refused : ExitStatus::Success;
}

} // namespace anvil
