#ifndef ANVIL_TESTS_RELAY_RELAYPLACE_H
#define ANVIL_TESTS_RELAY_RELAYPLACE_H

#include "Relay/RelayServer.h"
#include "Standins/RequestText.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace anvil {

/// The connection of a VM that asks, and the one that the target has accepted.
struct RelayedPair {
  boost::asio::ip::tcp::socket Asker_;
  boost::asio::ip::tcp::socket Target_;
};

/// A VM that relays, on a thread of its own, and a target whose connections the
/// test accepts. The sockets of the test block.
class RelayPlace {
public:
  explicit RelayPlace(RelayServerOptions Options = {});
  ~RelayPlace();
  RelayPlace(const RelayPlace &) = delete;
  RelayPlace &operator=(const RelayPlace &) = delete;

  /// A request with the right key for a target that is relayed to.
  static RelayRequest validRequest();

  /// Sends a request to relay. Returns the connection and the head of the
  /// answer, empty if there was none.
  std::pair<boost::asio::ip::tcp::socket, std::string>
  ask(const RelayRequest &Request);

  /// A connection that is relayed.
  RelayedPair open();

  /// Runs a function on the VM's thread.
  void run(const std::function<void(RelayServer &)> &Call);

  std::size_t openTunnels();

  /// Closes the target's port, so that connections to it are refused.
  void closeTarget() { Target_.close(); }

  /// Accepts a connection to the target.
  boost::asio::ip::tcp::socket acceptAtTarget() { return Target_.accept(); }

  std::uint16_t port() const { return Port_; }

  /// The questions of other VMs, and what they are answered; to be used on the
  /// VM's thread.
  std::vector<RelayQuestion> Questions_;
  std::optional<RelayAnswer> Answer_ = RelayAnswer{"answer", 7};

  /// The notices of other VMs; to be read on the VM's thread.
  const std::vector<RelayNotice> &notices() const { return Notices_; }

private:
  boost::asio::io_context Sockets_;
  boost::asio::ip::tcp::acceptor Target_;
  std::uint16_t TargetPort_;
  boost::asio::io_context Loop_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      Work_;
  TimerService Timers_;
  std::unique_ptr<RelayServer> Server_;
  std::uint16_t Port_ = 0;
  std::vector<RelayNotice> Notices_;
  std::thread Thread_;
};

/// Reads until the connection ends. `IsReset` says how.
std::string readToEnd(boost::asio::ip::tcp::socket &From, bool &IsReset);

/// Reads exactly so many bytes; fewer if the connection ends.
std::string readBytes(boost::asio::ip::tcp::socket &From, std::size_t Size);

/// Waits until a condition holds, at most for some seconds.
bool holdsSoon(const std::function<bool()> &Condition);

} // namespace anvil

#endif // ANVIL_TESTS_RELAY_RELAYPLACE_H
