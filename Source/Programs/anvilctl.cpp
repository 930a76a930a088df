#include "Commands/Command.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace options = boost::program_options;
using anvil::ExitStatus;

static void printCommands() {
  std::cout << "usage: anvilctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
  for (const auto &Known : anvil::allCommands())
    std::cout << "  " << Known->name() << "\t" << Known->summary() << "\n";
  std::cout << "\nanvilctl COMMAND --help shows a command's options.\n";
}

static options::options_description sharedOptions() {
  const char *Server = std::getenv("ANVIL_ADMIN");
  options::options_description Shared("Options of every command");
  auto Add = Shared.add_options();
  Add("help", "show this text");
  Add("server",
      options::value<std::string>()->default_value(Server ? Server
                                                          : "127.0.0.1:8081"),
      "the admin port of any anvild; ANVIL_ADMIN sets the default");
  Add("output", options::value<std::string>()->default_value("table"),
      "table or json");
  Add("timeout-ms", options::value<std::int64_t>()->default_value(10000),
      "how long to wait for an answer");
  return Shared;
}

static ExitStatus runCommand(const anvil::Command &Chosen,
                             const std::vector<std::string> &Arguments) {
  options::options_description Known = sharedOptions();
  options::options_description Own("Options of this command");
  options::positional_options_description Positions;
  Chosen.describe(Own, Positions);
  Known.add(Own);
  options::variables_map Given;
  try {
    options::store(options::command_line_parser(Arguments)
                       .options(Known)
                       .positional(Positions)
                       .run(),
                   Given);
    if (Given.count("help")) {
      std::cout << "anvilctl " << Chosen.name() << ": " << Chosen.summary()
                << "\n\n"
                << Known;
      return ExitStatus::Success;
    }
    options::notify(Given);
  } catch (const options::error &Problem) {
    std::cerr << "anvilctl " << Chosen.name() << ": " << Problem.what()
              << "; see anvilctl " << Chosen.name() << " --help\n";
    return ExitStatus::Usage;
  }
  auto Server = anvil::parseEndpoint(Given["server"].as<std::string>());
  if (!anvil::isOk(Server)) {
    anvil::printError(anvil::errorOf(Server));
    return ExitStatus::Usage;
  }
  auto Format = anvil::OutputFormat::Table;
  auto FormatName = Given["output"].as<std::string>();
  if (FormatName == "json") {
    Format = anvil::OutputFormat::Json;
  } else if (FormatName != "table") {
    anvil::printError({anvil::ErrorCode::InvalidInput, "--output",
                       "has no format " + FormatName, "use table or json"});
    return ExitStatus::Usage;
  }
  const char *Token = std::getenv("ANVIL_OPERATOR_TOKEN");
  anvil::AdminClient Client(
      anvil::valueOf(Server), Token ? Token : "",
      std::chrono::milliseconds(Given["timeout-ms"].as<std::int64_t>()));
  anvil::CommandContext Context{Client, Format, Given};
  return Chosen.run(Context);
}

int main(int Count, char **Arguments) {
  std::vector<std::string> Words(Arguments + 1, Arguments + Count);
  if (Words.empty() || Words.front() == "--help") {
    printCommands();
    return static_cast<int>(Words.empty() ? ExitStatus::Usage
                                          : ExitStatus::Success);
  }
  std::string Name = Words.front();
  Words.erase(Words.begin());
  for (const auto &Known : anvil::allCommands())
    if (Known->name() == Name)
      return static_cast<int>(runCommand(*Known, Words));
  std::cerr << "anvilctl: there is no command " << Name
            << "; see anvilctl --help\n";
  return static_cast<int>(ExitStatus::Usage);
}
