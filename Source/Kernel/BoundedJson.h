#ifndef ANVIL_KERNEL_BOUNDEDJSON_H
#define ANVIL_KERNEL_BOUNDEDJSON_H

#include "Kernel/EnumNames.h"
#include "Kernel/Error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace anvil {

/// What a JSON text from outside this process may contain. Parsed values can
/// take many times the bytes of their text, so a limit on the bytes is not
/// enough.
struct JsonLimits {
  std::size_t Bytes_ = 16 * 1024 * 1024;
  /// How deep lists and objects may be nested.
  std::size_t Depth_ = 64;
  std::size_t Values_ = 250000;
};

/// The limits of documents that hold a whole configuration.
inline constexpr JsonLimits ConfigurationLimits{64 * 1024 * 1024, 64, 4000000};

/// Why a text was not parsed.
enum class JsonProblem { TooLong, TooDeep, TooManyValues, Malformed };

inline constexpr std::pair<JsonProblem, std::string_view> JsonProblemNames[] = {
    {JsonProblem::TooLong, "too long"},
    {JsonProblem::TooDeep, "nested too deep"},
    {JsonProblem::TooManyValues, "has too many values"},
    {JsonProblem::Malformed, "is not JSON"},
};

/// The limit that a text exceeds; nothing if it keeps to all of them. Takes
/// no memory. A text that is not JSON may be reported with any limit.
std::optional<JsonProblem> exceededLimit(std::string_view Text,
                                         const JsonLimits &Limits = {});

/// Parses a text within limits. Errors: too large, if it exceeds one; protocol,
/// if it is not JSON.
Result<nlohmann::json> parseBounded(std::string_view Text,
                                    const JsonLimits &Limits = {});

/// As `parseBounded`, for callers that don't report why: the text's value, or a
/// discarded value.
nlohmann::json parseOrDiscard(std::string_view Text,
                              const JsonLimits &Limits = {});

} // namespace anvil

#endif // ANVIL_KERNEL_BOUNDEDJSON_H
