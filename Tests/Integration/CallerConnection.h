#ifndef ANVIL_TESTS_INTEGRATION_CALLERCONNECTION_H
#define ANVIL_TESTS_INTEGRATION_CALLERCONNECTION_H

#include "Integration/Process.h"

#include <map>
#include <utility>

namespace anvil {

/// An HTTP request of a test.
struct CallerRequest {
  std::string Method_ = "POST";
  std::string Target_;
  std::vector<std::pair<std::string, std::string>> Headers_;
  std::string Body_;
};

/// The HTTP reply that a caller received.
struct CallerReply {
  /// Zero if no reply began.
  int Status_ = 0;
  /// Names in lower case.
  std::map<std::string, std::string> Headers_;
  std::string Body_;
  /// Whether the reply was received to its end as HTTP defines it.
  bool Complete_ = false;

  /// The parsed body; `null` if it is not JSON.
  nlohmann::json json() const;

  /// A field of the JSON error object, such as `code` or `ran`.
  std::string problem(const std::string &Field) const;

  /// Whether this is a complete stream that ends with the `[DONE]` event.
  bool isCompleteStream() const;
};

/// A caller's blocking HTTP connection, with one request at a time.
class CallerConnection {
public:
  explicit CallerConnection(std::uint16_t Port,
                            const std::string &Address = "127.0.0.1");
  ~CallerConnection();
  CallerConnection(const CallerConnection &) = delete;
  CallerConnection &operator=(const CallerConnection &) = delete;

  void send(const CallerRequest &Request);
  void sendRaw(std::string_view Text);

  /// Reads the rest of the reply, for at most `Timeout`.
  CallerReply finish(Millis Timeout);

  /// Reads until the body contains the text; returns whether it does.
  bool readUntil(const std::string &Text, Millis Timeout);

  bool isOpen() const { return !Closed_; }

  /// Whether the server closes the connection within `Timeout`.
  bool closedWithin(Millis Timeout);

  /// The reply as far as it has been received.
  const CallerReply &partialReply() const { return Reply_; }

private:
  bool receive(Millis Timeout);
  void decode();
  void decodeChunks(std::string_view Text);

  int Socket_ = -1;
  bool Closed_ = false;
  std::string Received_;
  CallerReply Reply_;
};

/// Sends one request on a new connection and reads the reply.
CallerReply callOnce(std::uint16_t Port, const CallerRequest &Request,
                     Millis Timeout = Millis(20000));

/// Sends JSON to a stand-in or an admin port.
CallerReply sendJson(std::uint16_t Port, const std::string &Method,
                     const std::string &Target, const nlohmann::json &Body);

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_CALLERCONNECTION_H
