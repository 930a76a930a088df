#ifndef ANVIL_TESTS_INTEGRATION_KEEPALIVECALLERS_H
#define ANVIL_TESTS_INTEGRATION_KEEPALIVECALLERS_H

#include "Integration/CallerConnection.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// Callers of one VM that use keep-alive connections, with one request at a
/// time on each. Serves to test requests that arrive while the VM closes idle
/// connections.
class KeepAliveCallers {
public:
  using Moment = std::chrono::steady_clock::time_point;

  /// Makes a caller's request with this unique request id.
  using MakeCall =
      std::function<CallerRequest(std::size_t Caller, std::string Id)>;

  /// Opens the connections. `Name` is the prefix of the request ids.
  KeepAliveCallers(std::uint16_t Port, std::string Name, std::size_t Count,
                   MakeCall Make);

  /// Sends one request on each connection and reads the replies, so that the
  /// connections are idle afterwards. Returns whether all replies were
  /// complete.
  bool primeConnections();

  /// Sends a request on every connection at once.
  void send() { send({}, {}); }

  /// Sends a request on every connection, spread over a short time around
  /// `Middle`. With some hundred callers, the VM has then read some requests
  /// that it has not begun to serve.
  void sendAround(Moment Middle);

  /// Reads all replies, each until its end or the end of its connection.
  const std::vector<CallerReply> &finish();

  /// The ids of requests that are in `Executed` and have no complete reply.
  std::vector<std::string>
  executedWithoutReply(const std::set<std::string> &Executed) const;

  /// The ids of requests whose reply began and is incomplete.
  std::vector<std::string> truncatedReplies() const;

  /// The number of complete replies.
  std::size_t completeCount() const;

private:
  void send(Moment From, Moment To);

  std::string Name_;
  MakeCall Make_;
  std::vector<std::unique_ptr<CallerConnection>> Connections_;
  std::vector<std::string> Ids_;
  std::vector<CallerReply> Replies_;
  int Rounds_ = 0;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_KEEPALIVECALLERS_H
