#include "Settings/SettingsFile.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace anvil {

Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return Error{ErrorCode::NotFound, Path,
                 std::string("can't be read: ") + std::strerror(errno),
                 "check the path and its permissions"};
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

Result<std::string> readRegularFile(const std::string &Path) {
  std::error_code Ignored;
  if (std::filesystem::exists(Path, Ignored) &&
      !std::filesystem::is_regular_file(Path, Ignored))
    return Error{ErrorCode::InvalidInput, Path, "is not a regular file",
                 "put the file back"};
  return readTextFile(Path);
}

Result<nlohmann::json> parseSettings(const std::string &Path,
                                     const std::string &Text) {
  try {
    return nlohmann::json::parse(Text, nullptr, true, true);
  } catch (const nlohmann::json::parse_error &Problem) {
    std::size_t End = std::min<std::size_t>(Problem.byte, Text.size());
    auto Line = 1 + std::count(Text.begin(), Text.begin() + End, '\n');
    return Error{ErrorCode::InvalidInput, Path + ":" + std::to_string(Line),
                 "is not valid JSON",
                 "correct the syntax at or before this line"};
  }
}

} // namespace anvil
