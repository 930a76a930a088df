#include "Relay/RelayQuestion.h"

#include "Objects/Digest.h"
#include "Relay/RelayHeaders.h"

namespace anvil {

static constexpr std::string_view QuestionHeader = "Relay-Question";
static constexpr std::string_view CloseTimeHeader = "Relay-Close-Ms";
static constexpr std::string_view SignHeader = "Relay-Sign";

/// The status of an answer: no connection follows.
static constexpr int AnswerStatus = 204;

void addRelayQuestion(HttpHeaders &Headers, const RelayQuestion &Question) {
  Headers.add(QuestionHeader, base64Encode(Question.Path_));
  Headers.add(CloseTimeHeader,
              std::to_string(std::chrono::ceil<std::chrono::milliseconds>(
                                 Question.CloseTime_)
                                 .count()));
}

std::optional<RelayQuestion> decodeRelayQuestion(const HttpHeaders &Headers) {
  auto Path = decodedText(Headers, QuestionHeader);
  auto CloseTime = decodedMillis(Headers, CloseTimeHeader);
  if (!Path || !CloseTime)
    return std::nullopt;
  return RelayQuestion{std::move(*Path), *CloseTime};
}

HttpReply encodeRelayAnswer(const RelayAnswer &Answer) {
  HttpReply Reply{AnswerStatus, {}, ""};
  Reply.Headers_.add(SignHeader, Answer.Sign_);
  if (Answer.Incarnation_)
    Reply.Headers_.add(RelayIncarnationHeader,
                       std::to_string(*Answer.Incarnation_));
  return Reply;
}

std::optional<RelayAnswer> decodeRelayAnswer(int Status,
                                             const HttpHeaders &Headers) {
  auto Sign = Headers.find(SignHeader);
  if (Status != AnswerStatus || !Sign)
    return std::nullopt;
  return RelayAnswer{std::string(*Sign),
                     decodedNumber(Headers, RelayIncarnationHeader)};
}

} // namespace anvil
