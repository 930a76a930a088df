#ifndef ANVIL_TESTS_INTEGRATION_CALLERCONNECTION_H
#define ANVIL_TESTS_INTEGRATION_CALLERCONNECTION_H

#include "Integration/Process.h"

#include <map>
#include <utility>

namespace anvil {

/// A request as a test sends it.
struct Call {
  std::string Method_ = "POST";
  std::string Target_;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
};

/// An answer as a caller sees it.
struct Answer {
  /// Zero when no answer began.
  int Status_ = 0;
  /// Names in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
  /// Whether the answer came to its proper end.
  bool Whole_ = false;

  /// The body; `null` when it is no JSON.
  nlohmann::json json() const;

  /// A field of the JSON error, such as `code` or `ran`.
  std::string problem(const std::string &Field) const;

  /// Whether it is a stream with its last event.
  bool isWholeStream() const;
};

/// A caller's blocking connection, one request at a time.
class CallerConnection {
public:
  explicit CallerConnection(std::uint16_t Port);
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  void send(const Call &Request);
  void sendText(std::string_view Text);

  /// Reads the rest of the answer, at most until the bound.
  Answer finish(Millis Bound);

  /// Reads until the answer's body holds the text; says whether it came.
  bool readUntil(const std::string &Text, Millis Bound);

  /// Whether the server closes the connection within the bound.
  bool closedWithin(Millis Bound);

  /// What has come of the answer.
  const Answer &sofar() const { return Answer_; }

private:
  bool receive(Millis Bound);
  void decode();
  void decodeChunks(std::string_view Text);

  int Socket_ = -1;
  bool Closed_ = false;
  std::string Raw_;
  Answer Answer_;
};

/// Sends one request on a connection of its own.
Answer callOnce(std::uint16_t Port, const Call &Request,
                Millis Bound = Millis(20000));

/// Sends JSON to a stand-in or an admin port.
Answer sendJson(std::uint16_t Port, const std::string &Method,
                const std::string &Target, const nlohmann::json &Body);

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_CALLERCONNECTION_H
