#include "Gateway/OpenAiCodec.h"

#include "Kernel/BoundedJson.h"

namespace anvil {

using nlohmann::json;

/// The length of the prompt prefix that is used for routing, in bytes.
static constexpr std::size_t PromptStartBytes = 256;

/// The maximum of output tokens that a request may set.
static constexpr std::int64_t MaxOutputTokens = 1 << 20;

static Error badField(std::string Field, std::string Message,
                      std::string Action) {
  return {ErrorCode::InvalidInput, std::move(Field), std::move(Message),
          std::move(Action)};
}

/// Returns the text of a message; `content` is a string or a list of parts.
static std::optional<std::string> messageText(const json &Message) {
  if (!Message.is_object() || !Message.contains("content"))
    return std::nullopt;
  const json &Content = Message["content"];
  if (Content.is_string())
    return Content.get<std::string>();
  if (Content.is_array())
    return Content.dump();
  return std::nullopt;
}

static std::optional<Error> readPrompt(const json &Body,
                                       CompletionRequest &Request) {
  std::string Text;
  if (Body.contains("prompt")) {
    if (!Body["prompt"].is_string())
      return badField("prompt", "is not a string", "send the prompt as text");
    Text = Body["prompt"].get<std::string>();
  } else if (Body.contains("messages")) {
    if (!Body["messages"].is_array() || Body["messages"].empty())
      return badField("messages", "is not a list of messages",
                      "send at least one message");
    for (const json &Message : Body["messages"]) {
      auto Part = messageText(Message);
      if (!Part)
        return badField("messages", "has a message without content",
                        "give each message a content");
      Text += *Part;
    }
  } else {
    return badField("prompt", "is missing", "send a prompt or messages");
  }
  Request.PromptBytes_ = Text.size();
  Request.PromptStart_ = Text.substr(0, PromptStartBytes);
  return std::nullopt;
}

static std::optional<Error> readLimits(const json &Body,
                                       CompletionRequest &Request) {
  for (const char *Name : {"max_tokens", "max_completion_tokens"}) {
    if (!Body.contains(Name) || Body[Name].is_null())
      continue;
    if (!Body[Name].is_number_integer())
      return badField(Name, "is not a whole number", "send a number");
    auto Given = Body[Name].get<std::int64_t>();
    if (Given < 1 || Given > MaxOutputTokens)
      return badField(Name, "is out of range",
                      "send 1 to " + std::to_string(MaxOutputTokens));
    Request.MaxTokens_ = Given;
  }
  if (!Body.contains("stream") || Body["stream"].is_null())
    return std::nullopt;
  if (!Body["stream"].is_boolean())
    return badField("stream", "is not a boolean", "send true or false");
  Request.Stream_ = Body["stream"].get<bool>();
  return std::nullopt;
}

Result<CompletionRequest> decodeCompletion(std::string_view Text) {
  CompletionRequest Request;
  Request.Body_ = parseOrDiscard(Text);
  const json &Body = Request.Body_;
  if (!Body.is_object())
    return badField("body", "is not a JSON object", "send JSON");
  if (!Body.contains("model") || !Body["model"].is_string())
    return badField("model", "is not a string",
                    "send adapter or adapter@version");
  auto Model = Body["model"].get<std::string>();
  auto At = Model.find('@');
  Request.Adapter_ = Model.substr(0, At);
  if (At != std::string::npos)
    Request.Version_ = Model.substr(At + 1);
  if (Request.Adapter_.empty() ||
      (At != std::string::npos && Request.Version_.empty()))
    return badField("model", "has an empty adapter or version",
                    "send adapter or adapter@version");
  if (auto Problem = readPrompt(Body, Request))
    return *Problem;
  if (auto Problem = readLimits(Body, Request))
    return *Problem;
  return Request;
}

std::string encodeForEngine(const CompletionRequest &Request,
                            const std::string &Model, std::int64_t MaxTokens,
                            std::int64_t Priority) {
  json Body = Request.Body_;
  Body["model"] = Model;
  Body.erase("max_completion_tokens");
  Body["max_tokens"] = MaxTokens;
  // Engines serve lower numbers first.
  Body["priority"] = -Priority;
  if (Request.Stream_)
    Body["stream_options"] = {{"include_usage", true}};
  auto Replace = json::error_handler_t::replace;
  return Body.dump(-1, ' ', false, Replace);
}

std::optional<CompletionUsage> decodeUsage(std::string_view Text) {
  json Body = parseOrDiscard(Text);
  if (!Body.is_object())
    return std::nullopt;
  CompletionUsage Usage;
  if (Body.contains("model") && Body["model"].is_string())
    Usage.Model_ = Body["model"].get<std::string>();
  if (Body.contains("usage") && Body["usage"].is_object()) {
    const json &Total = Body["usage"].value("total_tokens", json());
    if (Total.is_number_integer())
      Usage.TotalTokens_ = Total.get<std::int64_t>();
  }
  if (Usage.Model_.empty() && Usage.TotalTokens_ == 0)
    return std::nullopt;
  return Usage;
}

bool isResponseTo(std::string_view Text, const RequestContext &Request) {
  json Body = parseOrDiscard(Text);
  if (!Body.is_object())
    return true;
  auto Model = Body.find("model");
  if (Model != Body.end() && *Model != Request.Adapter_.text())
    return false;
  auto Id = Body.find("id");
  return Id == Body.end() || !Id->is_string() ||
         Id->get_ref<const std::string &>().find(Request.RequestId_) !=
             std::string::npos;
}

static std::string refusalBody(const Refusal &Given,
                               const std::string &RequestId) {
  const RefusalTraits &Traits = refusalTraits(Given.Code_);
  json Problem{{"message", Given.Message_},
               {"type", Traits.HttpStatus_ < 500 ? "invalid_request_error"
                                                 : "server_error"},
               {"code", Traits.Name_},
               {"action", Traits.Action_},
               {"ran", executionName(Given.Executed_)},
               {"request_id", RequestId}};
  if (Given.RetryAfter_)
    Problem["retry_after_seconds"] = retryAfterSeconds(*Given.RetryAfter_);
  auto Replace = json::error_handler_t::replace;
  return json{{"error", Problem}}.dump(-1, ' ', false, Replace);
}

HttpReply encodeRefusal(const Refusal &Given, const std::string &RequestId) {
  HttpReply Reply = jsonReply(refusalTraits(Given.Code_).HttpStatus_,
                              refusalBody(Given, RequestId));
  Reply.Headers_.add("X-Request-Id", RequestId);
  if (Given.RetryAfter_)
    Reply.Headers_.add("Retry-After",
                       std::to_string(retryAfterSeconds(*Given.RetryAfter_)));
  return Reply;
}

std::string encodeStreamError(const Refusal &Given,
                              const std::string &RequestId) {
  return "data: " + refusalBody(Given, RequestId) + "\n\n";
}

} // namespace anvil
