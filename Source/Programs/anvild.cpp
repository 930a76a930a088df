#include "Programs/Daemon.h"
#include "Programs/ReadyFile.h"
#include "Telemetry/Log.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;

/// The exit status for a wrong command line or wrong settings.
static constexpr int UsageStatus = 2;

static void printErrors(const std::vector<anvil::Error> &Errors) {
  for (const anvil::Error &Problem : Errors)
    std::cerr << "anvild: " << Problem.describe() << "\n";
}

static int serve(anvil::DaemonSettings Settings, const std::string &ReadyPath) {
  if (!anvil::startLogging(Settings.Vm_, Settings.LogLevel_)) {
    printErrors({{anvil::ErrorCode::InvalidInput, "log_level",
                  "has the unknown value \"" + Settings.LogLevel_ + "\"",
                  "use debug, info, warning or error"}});
    return UsageStatus;
  }
  anvil::Daemon Server(std::move(Settings));
  anvil::Status Started = Server.start();
  if (anvil::isOk(Started) && !ReadyPath.empty())
    Started = anvil::writeReadyFile(ReadyPath, Server.ports());
  if (!anvil::isOk(Started)) {
    printErrors({anvil::errorOf(Started)});
    return 1;
  }
  Server.run();
  return 0;
}

int main(int Count, char **Arguments) {
  options::options_description Known("Options of anvild");
  auto Add = Known.add_options();
  Add("help", "show this text");
  Add("settings", options::value<std::string>(), "the settings file");
  Add("check", "check the settings and exit");
  Add("ready-file", options::value<std::string>()->default_value(""),
      "write the ports in use to this file once they are open");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
  } catch (const options::error &Problem) {
    std::cerr << "anvild: " << Problem.what() << "; see anvild --help\n";
    return UsageStatus;
  }
  if (Given.count("help")) {
    std::cout << Known;
    return 0;
  }
  if (!Given.count("settings")) {
    std::cerr << "anvild: --settings is missing; see anvild --help\n";
    return UsageStatus;
  }
  auto Loaded = anvil::loadDaemonSettings(Given["settings"].as<std::string>());
  if (std::holds_alternative<std::vector<anvil::Error>>(Loaded)) {
    printErrors(std::get<std::vector<anvil::Error>>(Loaded));
    return UsageStatus;
  }
  if (Given.count("check")) {
    std::cout << "the settings are good\n";
    return 0;
  }
  return serve(std::get<anvil::DaemonSettings>(std::move(Loaded)),
               Given["ready-file"].as<std::string>());
}
