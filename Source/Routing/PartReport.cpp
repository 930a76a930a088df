#include "Routing/PartReport.h"

#include <cstdio>

namespace anvil {

std::string partName(PartId Part) {
  char Text[17];
  std::snprintf(Text, sizeof(Text), "%016llx",
                static_cast<unsigned long long>(Part));
  return Text;
}

} // namespace anvil
