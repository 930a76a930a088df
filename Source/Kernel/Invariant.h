#ifndef ANVIL_KERNEL_INVARIANT_H
#define ANVIL_KERNEL_INVARIANT_H

#include <string_view>

namespace anvil {

/// Stops the process with one JSON log line when `Holds` is false. It is meant
/// for what can only be false through a fault in this program; bad input and
/// failures outside are errors and go back as values.
void checkInvariant(bool Holds, std::string_view What);

} // namespace anvil

#endif // ANVIL_KERNEL_INVARIANT_H
