#include "Commands/ApplyCommand.h"

#include "Settings/SettingsFile.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>
#include <thread>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

/// Interval at which `--wait` polls for confirmations.
static constexpr Duration ConfirmationPollInterval =
    std::chrono::milliseconds(200);

void ApplyCommand::describe(
    options::options_description &Options,
    options::positional_options_description &Arguments) const {
  auto Add = Options.add_options();
  Add("file", options::value<std::string>()->required(),
      "the change set, JSON with comments");
  Add("dry-run", options::bool_switch(), "only check and show the difference");
  Add("wait", options::bool_switch(),
      "wait until the revision is in force in every data centre");
  Add("wait-seconds", options::value<std::int64_t>()->default_value(30),
      "how long --wait waits");
  Arguments.add("file", 1);
}

/// Prints the confirmed and unconfirmed VMs, one line per data centre.
static void printConfirmation(const json &Page) {
  for (const json &DataCentre : Page["data_centres"]) {
    std::cout << DataCentre.value("name", "")
              << "\tconfirmed=" << DataCentre["confirmed"].size()
              << "\tunconfirmed=" << DataCentre["unconfirmed"].dump();
    if (!DataCentre.value("reachable", true))
      std::cout << "\tnot reachable";
    std::cout << "\n";
  }
}

ExitStatus ApplyCommand::waitUntilInForce(CommandContext &Context,
                                          std::uint64_t Revision) {
  auto Limit =
      std::chrono::seconds(Context.Options_["wait-seconds"].as<std::int64_t>());
  TimePoint End = BootClock::now() + Limit;
  json Page;
  do {
    auto Reply = Context.Client_.get("/admin/config/confirmation?revision=" +
                                     std::to_string(Revision));
    ExitStatus Status = reportReply(Reply);
    if (Status != ExitStatus::Success)
      return Status;
    Page = json::parse(valueOf(Reply).Body_, nullptr, false);
    if (Page.value("in_force", false))
      break;
    std::this_thread::sleep_for(ConfirmationPollInterval);
  } while (BootClock::now() < End);
  if (Context.Output_ == OutputFormat::Json)
    std::cout << Page.dump() << "\n";
  else
    printConfirmation(Page);
  if (Page.value("in_force", false))
    return ExitStatus::Success;
  printError({ErrorCode::Timeout, "apply",
              "the revision is published but not confirmed by every VM",
              "inspect the VMs and data centres listed as unconfirmed"});
  return ExitStatus::Unknown;
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
  json Published = json::parse(Body, nullptr, false);
  bool Wait = Context.Options_["wait"].as<bool>() && !DryRun;
  if (Context.Output_ == OutputFormat::Json) {
    std::cout << Body << "\n";
    return Wait ? waitUntilInForce(Context, Published.value("revision", 0))
                : Status;
  }
  const json &Difference = Published["difference"];
  std::cout << (DryRun ? "would become revision " : "published revision ")
            << Published["revision"] << ": " << Difference["put"].size()
            << " put, " << Difference["remove"].size() << " removed\n";
  return Wait ? waitUntilInForce(Context, Published.value("revision", 0))
              : Status;
}

} // namespace anvil
