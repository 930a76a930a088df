#include "Commands/StatusCommand.h"

#include "Commands/CommandSupport.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace anvil {

using nlohmann::json;

/// Prints a list with one line per record, anything else on one line.
static void printSection(const std::string &Title, const json &Section) {
  std::cout << Title << "\n";
  json Rows = Section.is_array() ? Section : json::array({Section});
  for (const json &Row : Rows) {
    std::cout << " ";
    if (!Row.is_object())
      std::cout << " " << cellText(Row);
    else
      for (const auto &[Field, Value] : Row.items())
        std::cout << " " << Field << "=" << cellText(Value);
    std::cout << "\n";
  }
}

ExitStatus StatusCommand::run(CommandContext &Context) const {
  return showPage(Context, "/admin/status", [](const json &Whole) {
    for (const auto &[Title, Section] : Whole.items())
      printSection(Title, Section);
  });
}

} // namespace anvil
