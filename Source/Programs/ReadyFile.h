#ifndef ANVIL_PROGRAMS_READYFILE_H
#define ANVIL_PROGRAMS_READYFILE_H

#include "Kernel/Error.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvil {

/// Writes the ports that a program listens on as a JSON object, from which the
/// process that started it reads them. The file is replaced atomically.
Status writeReadyFile(const std::string &Path,
                      const std::map<std::string, std::uint16_t> &Ports);

} // namespace anvil

#endif // ANVIL_PROGRAMS_READYFILE_H
