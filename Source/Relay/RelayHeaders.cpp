#include "Relay/RelayHeaders.h"

#include "Objects/Digest.h"

#include <algorithm>
#include <charconv>

namespace anvil {

/// A longer time in a message is shortened to this.
static constexpr Duration MaxTime = std::chrono::minutes(10);

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

std::optional<Duration> decodedMillis(const HttpHeaders &Headers,
                                      std::string_view Name) {
  auto Millis = decodedNumber(Headers, Name);
  if (!Millis || *Millis < 0)
    return std::nullopt;
  return std::chrono::milliseconds(
      std::min<std::int64_t>(*Millis, toMillis(MaxTime)));
}

} // namespace anvil
