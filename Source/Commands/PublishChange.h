#ifndef ANVIL_COMMANDS_PUBLISHCHANGE_H
#define ANVIL_COMMANDS_PUBLISHCHANGE_H

#include "Commands/Command.h"
#include "Objects/ObjectSet.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <variant>

namespace anvil {

/// Reads the snapshot in force; prints what went wrong and gives the exit
/// status otherwise.
std::variant<ConfigSnapshot, ExitStatus> readSnapshot(CommandContext &Context);

/// Publishes one object, then prints `Shown` with the new revision.
ExitStatus publishObject(CommandContext &Context, AnyObject Changed,
                         nlohmann::json Shown);

/// Prints a record: a line a field, or JSON.
void printRecord(const CommandContext &Context, const nlohmann::json &Record);

/// A value as it is printed in tables: strings without quotes.
std::string cellText(const nlohmann::json &Value);

} // namespace anvil

#endif // ANVIL_COMMANDS_PUBLISHCHANGE_H
