#ifndef ANVIL_OBJECTS_DIGEST_H
#define ANVIL_OBJECTS_DIGEST_H

#include <optional>
#include <string>
#include <string_view>

namespace anvil {

/// SHA-256 of the bytes, in lower-case hexadecimal.
std::string sha256Hex(std::string_view Bytes);

/// Whether two texts are equal, in a time that doesn't depend on where they
/// differ.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// `ByteCount` bytes from the system's random source, in hexadecimal.
std::string randomHex(std::size_t ByteCount);

/// The bytes as base64 text.
std::string base64Encode(std::string_view Bytes);

/// The bytes of a base64 text; nothing when it is not one.
std::optional<std::string> base64Decode(std::string_view Text);

} // namespace anvil

#endif // ANVIL_OBJECTS_DIGEST_H
