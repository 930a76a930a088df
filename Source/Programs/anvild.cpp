#include "Entry/EntryDaemon.h"
#include "Process/ProcessSetup.h"
#include "Programs/Daemon.h"
#include "Programs/ReadyFile.h"
#include "Settings/SettingsFile.h"
#include "Telemetry/Log.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>

namespace options = boost::program_options;

/// The exit status for an invalid command line or invalid settings.
static constexpr int UsageStatus = 2;

static void printErrors(const std::vector<anvil::Error> &Errors) {
  for (const anvil::Error &Problem : Errors)
    std::cerr << "anvild: " << Problem.describe() << "\n";
}

static bool openLog(const std::string &Vm, const std::string &Level) {
  if (anvil::startLogging(Vm, Level))
    return true;
  printErrors({{anvil::ErrorCode::InvalidInput, "log_level",
                "has the unknown value \"" + Level + "\"",
                "use debug, info, warning or error"}});
  return false;
}

/// Handles SIGHUP: validates the settings file again and logs the result. No
/// setting changes; addresses and bounds take effect at the next start.
template <class ParseFunction>
static void recheckSettings(const std::string &Path, ParseFunction Parse) {
  auto Text = anvil::readRegularFile(Path);
  if (!anvil::isOk(Text)) {
    anvil::logEvent(anvil::LogLevel::Error, "reload_failed",
                    {{"reason", anvil::errorOf(Text).describe()}});
    return;
  }
  auto Parsed = Parse(Path, anvil::valueOf(Text));
  if (const auto *Errors = std::get_if<std::vector<anvil::Error>>(&Parsed)) {
    for (const anvil::Error &Problem : *Errors)
      anvil::logEvent(anvil::LogLevel::Error, "reload_failed",
                      {{"reason", Problem.describe()}});
    return;
  }
  anvil::logEvent(anvil::LogLevel::Info, "reloaded", {{"file", Path}});
}

/// Runs a daemon until it has stopped and writes its ports to the ready file,
/// if one is given.
template <class Server, class Settings, class ParseFunction>
static int serve(Settings Checked, ParseFunction Parse, const std::string &Path,
                 const std::string &ReadyPath) {
  if (!openLog(Checked.Vm_, Checked.LogLevel_))
    return UsageStatus;
  Server Running(std::move(Checked));
  Running.onReload([Path, Parse] { recheckSettings(Path, Parse); });
  anvil::Status Outcome = Running.run([&]() -> anvil::Status {
    if (ReadyPath.empty())
      return std::monostate{};
    return anvil::writeReadyFile(ReadyPath, Running.ports());
  });
  if (anvil::isOk(Outcome))
    return 0;
  printErrors({anvil::errorOf(Outcome)});
  return 1;
}

/// Runs the mode that the settings select, or only validates the settings.
static int runSettings(const std::string &Path, const std::string &ReadyPath,
                       bool OnlyCheck) {
  auto Text = anvil::readTextFile(Path);
  if (!anvil::isOk(Text)) {
    printErrors({anvil::errorOf(Text)});
    return UsageStatus;
  }
  auto Run = [&](auto Loaded, auto Serve) {
    if (const auto *Errors = std::get_if<std::vector<anvil::Error>>(&Loaded)) {
      printErrors(*Errors);
      return UsageStatus;
    }
    if (!OnlyCheck)
      return Serve(std::get<0>(std::move(Loaded)));
    std::cout << "the settings are valid\n";
    return 0;
  };
  if (anvil::selectsEntryMode(Path, anvil::valueOf(Text)))
    return Run(anvil::parseEntrySettings(Path, anvil::valueOf(Text)),
               [&](anvil::EntrySettings Settings) {
                 return serve<anvil::EntryDaemon>(std::move(Settings),
                                                  anvil::parseEntrySettings,
                                                  Path, ReadyPath);
               });
  return Run(anvil::parseDaemonSettings(Path, anvil::valueOf(Text)),
             [&](anvil::DaemonSettings Settings) {
               return serve<anvil::Daemon>(std::move(Settings),
                                           anvil::parseDaemonSettings, Path,
                                           ReadyPath);
             });
}

int main(int Count, char **Arguments) {
  anvil::prepareProcess();
  options::options_description Known("Options of anvild");
  auto Add = Known.add_options();
  Add("help", "show this text");
  Add("settings", options::value<std::string>(), "the settings file");
  Add("settings-from", options::value<std::string>(),
      "the environment variable that names the settings file");
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
  std::string Path;
  if (Given.count("settings"))
    Path = Given["settings"].as<std::string>();
  else if (Given.count("settings-from"))
    if (const char *Value =
            std::getenv(Given["settings-from"].as<std::string>().c_str()))
      Path = Value;
  if (Path.empty()) {
    std::cerr << "anvild: --settings and --settings-from are missing or "
                 "empty; see anvild --help\n";
    return UsageStatus;
  }
  return runSettings(Path, Given["ready-file"].as<std::string>(),
                     Given.count("check") > 0);
}
