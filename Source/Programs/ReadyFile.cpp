#include "Programs/ReadyFile.h"

#include <nlohmann/json.hpp>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fstream>

namespace anvil {

Status writeReadyFile(const std::string &Path,
                      const std::map<std::string, std::uint16_t> &Ports) {
  std::string TemporaryPath = Path + ".part";
  {
    std::ofstream File(TemporaryPath);
    File << nlohmann::json(Ports).dump() << "\n";
    if (!File.flush())
      return Error{ErrorCode::Unavailable, TemporaryPath, std::strerror(errno),
                   "check the path and its permissions"};
  }
  if (std::rename(TemporaryPath.c_str(), Path.c_str()) != 0)
    return Error{ErrorCode::Unavailable, Path, std::strerror(errno),
                 "check the path and its permissions"};
  return std::monostate{};
}

} // namespace anvil
