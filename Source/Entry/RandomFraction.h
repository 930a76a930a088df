#ifndef ANVIL_ENTRY_RANDOMFRACTION_H
#define ANVIL_ENTRY_RANDOMFRACTION_H

namespace anvil {

/// A random number in [0, 1).
double randomFraction();

} // namespace anvil

#endif // ANVIL_ENTRY_RANDOMFRACTION_H
