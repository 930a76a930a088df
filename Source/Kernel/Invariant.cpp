#include "Kernel/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace anvil {

void checkInvariant(bool Holds, std::string_view What) {
  if (Holds)
    return;
  // The logger may be part of the failure, so this writes to stderr directly.
  std::fprintf(stderr,
               "{\"level\":\"critical\",\"event\":\"invariant_broken\","
               "\"what\":\"%.*s\"}\n",
               static_cast<int>(What.size()), What.data());
  std::abort();
}

} // namespace anvil
