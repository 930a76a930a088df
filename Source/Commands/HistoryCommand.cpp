#include "Commands/HistoryCommand.h"

#include "Commands/CommandSupport.h"

#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

namespace options = boost::program_options;
using nlohmann::json;

void HistoryCommand::describe(options::options_description &Options,
                              options::positional_options_description &) const {
  Options.add_options()("after",
                        options::value<std::uint64_t>()->default_value(0),
                        "only revisions after this one");
}

static void printHistory(const json &Page) {
  std::cout << "revision\ttime_ms\tchanged\tremoved\tsubmit_id\n";
  for (const json &Entry : Page["history"])
    std::cout << Entry["revision"] << "\t" << Entry["time_ms"] << "\t"
              << Entry["changed"] << "\t" << Entry["removed"] << "\t"
              << Entry.value("submit_id", "") << "\n";
}

ExitStatus HistoryCommand::run(CommandContext &Context) const {
  auto After = Context.Options_["after"].as<std::uint64_t>();
  return showPage(Context,
                  "/admin/config/history?after=" + std::to_string(After),
                  printHistory);
}

} // namespace anvil
