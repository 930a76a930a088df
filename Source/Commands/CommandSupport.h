#ifndef ANVIL_COMMANDS_COMMANDSUPPORT_H
#define ANVIL_COMMANDS_COMMANDSUPPORT_H

#include "Commands/Command.h"
#include "Objects/ObjectSet.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <variant>

namespace anvil {

/// Reads the configuration snapshot in force. On failure prints the error and
/// returns the exit status.
std::variant<ConfigSnapshot, ExitStatus> readSnapshot(CommandContext &Context);

/// Fetches a page of the admin port and prints it: unchanged if the output
/// format is JSON, otherwise with `PrintTable`.
ExitStatus
showPage(CommandContext &Context, const std::string &Target,
         const std::function<void(const nlohmann::json &)> &PrintTable);

/// Publishes one object, then prints `Record` with the new revision.
ExitStatus publishObject(CommandContext &Context, AnyObject Changed,
                         nlohmann::json Record);

/// Prints a record as JSON or with one field per line.
void printRecord(const CommandContext &Context, const nlohmann::json &Record);

/// Formats a value for a table; strings are printed without quotes.
std::string cellText(const nlohmann::json &Value);

} // namespace anvil

#endif // ANVIL_COMMANDS_COMMANDSUPPORT_H
