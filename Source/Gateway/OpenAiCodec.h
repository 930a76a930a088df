#ifndef ANVIL_GATEWAY_OPENAICODEC_H
#define ANVIL_GATEWAY_OPENAICODEC_H

#include "Http/HttpMessage.h"
#include "Kernel/Error.h"
#include "Requests/Refusal.h"
#include "Requests/RequestContext.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace anvil {

/// The fields of a caller's completion request that this system evaluates.
struct CompletionRequest {
  /// As given in `model`: `adapter` or `adapter@version`.
  std::string Adapter_;
  /// Empty if the request names none.
  std::string Version_;
  /// The size of the prompt or of all messages together, in bytes.
  std::size_t PromptBytes_ = 0;
  /// The first bytes of the prompt, by which requests are routed to a target's
  /// prefix cache.
  std::string PromptStart_;
  /// Absent if the request sets no limit.
  std::optional<std::int64_t> MaxTokens_;
  bool Stream_ = false;
  nlohmann::json Body_;
};

/// Decodes a body of `/v1/completions` or `/v1/chat/completions`. The error
/// names the field and what is allowed.
Result<CompletionRequest> decodeCompletion(std::string_view Body);

/// Encodes the body for the engine: with an explicit version of the model, an
/// output limit, the option to report usage, and the priority of the class.
std::string encodeForEngine(const CompletionRequest &Request,
                            const std::string &Model, std::int64_t MaxTokens,
                            std::int64_t Priority);

/// What an engine reports of a completed response.
struct CompletionUsage {
  std::string Model_;
  std::int64_t TotalTokens_ = 0;
};

/// Reads model and usage from a whole response or one streamed event; empty if
/// the text has neither.
std::optional<CompletionUsage> decodeUsage(std::string_view Text);

/// Whether a response, or one event of it, names no other adapter and no other
/// request. Engines may put a prefix or suffix around the request's id.
bool isResponseTo(std::string_view Text, const RequestContext &Request);

/// Encodes a refusal for the caller: JSON in OpenAI's format with a stable
/// code, the recommended action and whether the request ran, and `Retry-After`.
HttpReply encodeRefusal(const Refusal &Given, const std::string &RequestId);

/// Encodes the last event of a stream that ends with an error.
std::string encodeStreamError(const Refusal &Given,
                              const std::string &RequestId);

} // namespace anvil

#endif // ANVIL_GATEWAY_OPENAICODEC_H
