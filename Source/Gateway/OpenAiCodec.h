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

/// What the system reads of a caller's completion request.
struct CompletionRequest {
  /// As given in `model`: `adapter` or `adapter@version`.
  std::string Adapter_;
  /// Empty when the request names none.
  std::string Version_;
  /// The bytes of the prompt or of all messages together.
  std::size_t PromptBytes_ = 0;
  /// The first bytes of the prompt, for prefix caches.
  std::string PromptStart_;
  /// Absent when the request leaves it to the system.
  std::optional<std::int64_t> MaxTokens_;
  bool Stream_ = false;
  nlohmann::json Body_;
};

/// Reads a body of `/v1/completions` or `/v1/chat/completions`. The error names
/// the field and says what is allowed.
Result<CompletionRequest> decodeCompletion(std::string_view Body);

/// The body for the engine: the model fixed to one version, the output bounded,
/// usage asked for, and the class's priority.
std::string encodeForEngine(const CompletionRequest &Request,
                            const std::string &Model, std::int64_t MaxTokens,
                            std::int64_t Priority);

/// What an engine says of a finished answer.
struct CompletionUsage {
  std::string Model_;
  std::int64_t TotalTokens_ = 0;
};

/// Reads model and usage out of a whole answer or of one streamed event;
/// nothing when the text has neither.
std::optional<CompletionUsage> decodeUsage(std::string_view Text);

/// Whether an answer, or one event of it, names no other adapter and no other
/// request. Engines may set their own marks around the request's id.
bool isAnswerTo(std::string_view Text, const RequestContext &Request);

/// The caller's view of a refusal: JSON in OpenAI's shape, with a stable code,
/// what to do, whether the request ran, and Retry-After.
HttpReply encodeRefusal(const Refusal &Given, const std::string &RequestId);

/// The last event of a stream that breaks.
std::string encodeStreamError(const Refusal &Given,
                              const std::string &RequestId);

} // namespace anvil

#endif // ANVIL_GATEWAY_OPENAICODEC_H
