#include "Commands/DiffCommand.h"

#include "Commands/CommandSupport.h"

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

static void printDifference(const json &Difference) {
  for (const json &Object : Difference["put"])
    std::cout << "put\t" << Object.dump() << "\n";
  for (const json &Object : Difference["remove"])
    std::cout << "remove\t" << Object.value("kind", "") << "\t"
              << Object.value("name", "") << "\n";
}

ExitStatus DiffCommand::run(CommandContext &Context) const {
  auto Revision = Context.Options_["revision"].as<std::uint64_t>();
  return showPage(Context,
                  "/admin/config/diff?from=" + std::to_string(Revision),
                  printDifference);
}

} // namespace anvil
