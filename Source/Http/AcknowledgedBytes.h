#ifndef ANVIL_HTTP_ACKNOWLEDGEDBYTES_H
#define ANVIL_HTTP_ACKNOWLEDGEDBYTES_H

#include <cstdint>

namespace anvil {

/// How many bytes the peer of a TCP socket has acknowledged so far; zero if
/// this isn't known.
std::uint64_t acknowledgedBytes(int Socket);

} // namespace anvil

#endif // ANVIL_HTTP_ACKNOWLEDGEDBYTES_H
