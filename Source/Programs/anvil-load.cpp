#include "LoadTool/DeploymentPlan.h"
#include "LoadTool/HtmlReport.h"
#include "LoadTool/LoadReport.h"
#include "LoadTool/LoadRunner.h"
#include "Settings/SettingsFile.h"

#include <boost/program_options.hpp>

#include <fstream>
#include <iostream>

namespace options = boost::program_options;

/// The exit status for an invalid command line or scenario.
static constexpr int UsageStatus = 2;

static int fail(const anvil::Error &Problem) {
  std::cerr << "anvil-load: " << Problem.describe() << "\n";
  return UsageStatus;
}

static bool writeText(const std::string &Path, const std::string &Text) {
  std::ofstream File(Path);
  File << Text;
  return static_cast<bool>(File.flush());
}

/// Runs a scenario, prints its results and writes the requested reports.
static int runScenario(const options::variables_map &Given) {
  auto Path = Given["scenario"].as<std::string>();
  auto Text = anvil::readTextFile(Path);
  if (!anvil::isOk(Text))
    return fail(anvil::errorOf(Text));
  auto Parsed = anvil::parseScenario(Path, anvil::valueOf(Text));
  if (auto *Errors = std::get_if<std::vector<anvil::Error>>(&Parsed)) {
    for (const anvil::Error &Problem : *Errors)
      fail(Problem);
    return UsageStatus;
  }
  const auto &Run = std::get<anvil::Scenario>(Parsed);
  anvil::LoadRunner Runner(Run);
  Runner.run();
  auto Report = anvil::makeReport(Run, Runner.log(), Runner.engines());
  std::cout << anvil::reportText(Report);
  auto JsonPath = Given["json"].as<std::string>();
  if (!JsonPath.empty() && !writeText(JsonPath, anvil::encodeReport(Report)))
    return fail({anvil::ErrorCode::Unavailable, JsonPath, "can't be written",
                 "check the path and its permissions"});
  auto HtmlPath = Given["html"].as<std::string>();
  if (!HtmlPath.empty() && !writeText(HtmlPath, anvil::htmlReport(Report)))
    return fail({anvil::ErrorCode::Unavailable, HtmlPath, "can't be written",
                 "check the path and its permissions"});
  return 0;
}

/// Prints the change set or a scenario for a deployment plan.
static int printPlan(const options::variables_map &Given) {
  auto Plan = anvil::findPlan(Given["plan"].as<std::string>());
  if (!Plan)
    return fail({anvil::ErrorCode::InvalidInput, "--plan",
                 "has no deployment of that name", "use lonestar or serenas"});
  auto Engines = Given["engine"].as<std::vector<std::string>>();
  if (static_cast<std::int64_t>(Engines.size()) != Plan->engineCount())
    return fail({anvil::ErrorCode::InvalidInput, "--engine",
                 "is given " + std::to_string(Engines.size()) + " times",
                 "give it " + std::to_string(Plan->engineCount()) + " times"});
  auto Kind = Given["kind"].as<std::string>();
  if (Kind == "set")
    std::cout << anvil::encodeChangeSet(anvil::planChange(*Plan, Engines));
  else
    std::cout << anvil::planScenario(
        *Plan, Kind, Given["rate"].as<double>(), Given["seconds"].as<double>(),
        Given["vm"].as<std::vector<std::string>>(), Engines,
        Given["platform"].as<std::string>());
  std::cout << "\n";
  return 0;
}

int main(int Count, char **Arguments) {
  using Names = std::vector<std::string>;
  options::options_description Known("Options of anvil-load");
  auto Add = Known.add_options();
  Add("help", "show this text");
  Add("scenario", options::value<std::string>(), "run this scenario file");
  Add("json", options::value<std::string>()->default_value(""),
      "write the results to this file as JSON");
  Add("html", options::value<std::string>()->default_value(""),
      "write the results to this file as an HTML page with charts");
  Add("plan", options::value<std::string>(),
      "print a plan of this deployment: lonestar or serenas");
  Add("kind", options::value<std::string>()->default_value("set"),
      "what to print: set, calm, overload, shift or outage");
  Add("engine", options::value<Names>()->default_value({}, ""),
      "an engine's address; may be given several times");
  Add("vm", options::value<Names>()->default_value({}, ""),
      "a VM's address for callers; may be given several times");
  Add("platform", options::value<std::string>()->default_value(""),
      "the address of the platform stand-in");
  Add("rate", options::value<double>()->default_value(30),
      "requests per second in all");
  Add("seconds", options::value<double>()->default_value(30),
      "how long the scenario runs");
  options::variables_map Given;
  try {
    options::store(options::parse_command_line(Count, Arguments, Known), Given);
  } catch (const options::error &Problem) {
    std::cerr << "anvil-load: " << Problem.what() << "; see --help\n";
    return UsageStatus;
  }
  if (Given.count("plan"))
    return printPlan(Given);
  if (Given.count("scenario"))
    return runScenario(Given);
  std::cout << Known;
  return Given.count("help") ? 0 : UsageStatus;
}
