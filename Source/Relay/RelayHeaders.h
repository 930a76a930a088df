#ifndef ANVIL_RELAY_RELAYHEADERS_H
#define ANVIL_RELAY_RELAYHEADERS_H

#include "Http/HttpMessage.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace anvil {

// The headers that all requests to a VM that relays have in common. Texts that
// come from outside are encoded, since not every byte may stand in a header.

inline constexpr std::string_view RelayKeyHeader = "Relay-Key";
inline constexpr std::string_view RelayVmHeader = "Relay-Vm";
inline constexpr std::string_view RelayTargetHeader = "Relay-Target";
inline constexpr std::string_view RelayIncarnationHeader = "Relay-Incarnation";

/// The text of an encoded header; nothing if it is missing or malformed.
std::optional<std::string> decodedText(const HttpHeaders &Headers,
                                       std::string_view Name);

/// The whole number of a header; nothing if it is missing or malformed.
std::optional<std::int64_t> decodedNumber(const HttpHeaders &Headers,
                                          std::string_view Name);

/// The milliseconds of a header, ten minutes at most; nothing if it is missing,
/// malformed or negative.
std::optional<Duration> decodedMillis(const HttpHeaders &Headers,
                                      std::string_view Name);

} // namespace anvil

#endif // ANVIL_RELAY_RELAYHEADERS_H
