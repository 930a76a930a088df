#ifndef ANVIL_OBJECTS_DIGEST_H
#define ANVIL_OBJECTS_DIGEST_H

#include <optional>
#include <string>
#include <string_view>

namespace anvil {

/// SHA-256 of the bytes, in lower-case hexadecimal.
std::string sha256Hex(std::string_view Bytes);

/// Whether two strings are equal, in time that doesn't depend on where they
/// differ.
bool equalInConstantTime(std::string_view Left, std::string_view Right);

/// `ByteCount` cryptographically random bytes, in hexadecimal.
std::string randomHex(std::size_t ByteCount);

std::string base64Encode(std::string_view Bytes);

/// Decodes base64; nothing when the text is not valid base64.
std::optional<std::string> base64Decode(std::string_view Text);

} // namespace anvil

#endif // ANVIL_OBJECTS_DIGEST_H
