#ifndef ANVIL_TESTS_INTEGRATION_KEPTCALLERS_H
#define ANVIL_TESTS_INTEGRATION_KEPTCALLERS_H

#include "Integration/CallerConnection.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace anvil {

/// Callers of one VM who keep their connections between requests, one request
/// at a time on each.
class KeptCallers {
public:
  using Moment = std::chrono::steady_clock::time_point;

  /// A caller's request; the string says which one, and it is unique.
  using MakeCall = std::function<Call(std::size_t Caller, std::string Id)>;

  /// Opens the connections. The name begins the requests' ids.
  KeptCallers(std::uint16_t Port, std::string Name, std::size_t Count,
              MakeCall Make);

  /// Has one request of each answered, so that the connections are kept; says
  /// whether all were.
  bool settle();

  /// Sends a request of each at once.
  void send() { send({}, {}); }

  /// Sends a request of each, spread over some time before and after a moment:
  /// with some hundred callers so many that a VM has read some of them then and
  /// has not begun to serve them.
  void sendAround(Moment Middle);

  /// Reads the answers of all, each to its end or the connection's.
  const std::vector<Answer> &finish();

  /// The requests that ran, of those given, though the connection was closed
  /// without a whole answer.
  std::vector<std::string> lost(const std::set<std::string> &Ran) const;

  /// Requests whose answer began and did not come to its end.
  std::vector<std::string> cut() const;

  /// How many answers were whole.
  std::size_t answered() const;

private:
  void send(Moment From, Moment To);

  std::string Name_;
  MakeCall Make_;
  std::vector<std::unique_ptr<CallerConnection>> Connections_;
  std::vector<std::string> Ids_;
  std::vector<Answer> Answers_;
  int Requests_ = 0;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_KEPTCALLERS_H
