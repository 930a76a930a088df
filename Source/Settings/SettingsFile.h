#ifndef ANVIL_SETTINGS_SETTINGSFILE_H
#define ANVIL_SETTINGS_SETTINGSFILE_H

#include "Kernel/Error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace anvil {

/// Reads a whole file. The error names the file and the cause.
Result<std::string> readTextFile(const std::string &Path);

/// Reads a whole file, but no pipe or device, whose reading may not end.
Result<std::string> readRegularFile(const std::string &Path);

/// Parses JSON with comments. The error names the file and the line.
Result<nlohmann::json> parseSettings(const std::string &Path,
                                     const std::string &Text);

} // namespace anvil

#endif // ANVIL_SETTINGS_SETTINGSFILE_H
