#ifndef ANVIL_RELAY_RELAYQUESTION_H
#define ANVIL_RELAY_RELAYQUESTION_H

#include "Http/HttpMessage.h"
#include "Kernel/Clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace anvil {

/// A VM's question to another one whether the process of a target has outlived
/// the end of a connection. It brings the target no request, so it is answered
/// for targets that get none, too.
struct RelayQuestion {
  /// What the target is asked for; empty if it can only be connected to.
  std::string Path_;
  /// How long a connection must stay open that shows that a silent target
  /// lives; whole milliseconds.
  Duration CloseTime_{};
};

/// What the other VM has found.
struct RelayAnswer {
  /// The stable name of the sign of life.
  std::string Sign_;
  /// The incarnation that the target stated, if it did.
  std::optional<std::int64_t> Incarnation_;
};

/// Adds a question to the headers of a request to relay. A VM of an earlier
/// release doesn't know them and opens a connection.
void addRelayQuestion(HttpHeaders &Headers, const RelayQuestion &Question);

/// Nothing if the headers hold no question, or a malformed one.
std::optional<RelayQuestion> decodeRelayQuestion(const HttpHeaders &Headers);

/// The response to a question.
HttpReply encodeRelayAnswer(const RelayAnswer &Answer);

/// Nothing if the response holds no answer.
std::optional<RelayAnswer> decodeRelayAnswer(int Status,
                                             const HttpHeaders &Headers);

} // namespace anvil

#endif // ANVIL_RELAY_RELAYQUESTION_H
