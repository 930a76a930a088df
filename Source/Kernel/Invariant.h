#ifndef ANVIL_KERNEL_INVARIANT_H
#define ANVIL_KERNEL_INVARIANT_H

#include <string_view>

namespace anvil {

/// Writes one JSON log line and aborts the process when `Holds` is false. Use
/// it only for conditions that a defect in this program alone can violate;
/// invalid input and external failures are returned as `Error` values.
void checkInvariant(bool Holds, std::string_view What);

} // namespace anvil

#endif // ANVIL_KERNEL_INVARIANT_H
