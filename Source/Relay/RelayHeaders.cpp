#include "Relay/RelayHeaders.h"

#include "Objects/Digest.h"

#include <charconv>

namespace anvil {

std::optional<std::string> decodedText(const HttpHeaders &Headers,
                                       std::string_view Name) {
  auto Found = Headers.find(Name);
  return Found ? base64Decode(*Found) : std::nullopt;
}

std::optional<std::int64_t> decodedNumber(const HttpHeaders &Headers,
                                          std::string_view Name) {
  auto Found = Headers.find(Name);
  if (!Found)
    return std::nullopt;
  std::int64_t Number = 0;
  const char *End = Found->data() + Found->size();
  auto [Rest, Cause] = std::from_chars(Found->data(), End, Number);
  if (Cause != std::errc() || Rest != End)
    return std::nullopt;
  return Number;
}

} // namespace anvil
