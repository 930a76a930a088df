#ifndef ANVIL_COMMANDS_COMMANDSUPPORT_H
#define ANVIL_COMMANDS_COMMANDSUPPORT_H

#include "Commands/Command.h"
#include "Objects/ObjectSet.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <variant>

namespace anvil {

/// Reads the snapshot in force; prints what went wrong and gives the exit
/// status otherwise.
std::variant<ConfigSnapshot, ExitStatus> readSnapshot(CommandContext &Context);

/// Gets a page of the admin port and shows it: as it came when the output is
/// JSON, else by `PrintTable`.
ExitStatus
showPage(CommandContext &Context, const std::string &Target,
         const std::function<void(const nlohmann::json &)> &PrintTable);

/// Publishes one object, then prints `Shown` with the new revision.
ExitStatus publishObject(CommandContext &Context, AnyObject Changed,
                         nlohmann::json Shown);

/// Prints a record: a line a field, or JSON.
void printRecord(const CommandContext &Context, const nlohmann::json &Record);

/// A value as it is printed in tables: strings without quotes.
std::string cellText(const nlohmann::json &Value);

} // namespace anvil

#endif // ANVIL_COMMANDS_COMMANDSUPPORT_H
