#ifndef ANVIL_TESTS_INTEGRATION_RELAYINGVM_H
#define ANVIL_TESTS_INTEGRATION_RELAYINGVM_H

#include "Entry/TargetProbe.h"
#include "Integration/SingleVm.h"
#include "Relay/RelayServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace anvil {

/// Another VM that a test plays beside a `SingleVm`: it has a row in the store,
/// sends state updates, and relays connections to a target whose real address
/// only it knows, and answers questions about it.
class RelayingVm {
public:
  /// `TargetPort` is the port of the target at the loopback address. A VM of an
  /// earlier release knows no questions.
  RelayingVm(const SingleVm &Other, std::uint16_t TargetPort,
             bool IsEarlierRelease = false);
  ~RelayingVm();
  RelayingVm(const RelayingVm &) = delete;
  RelayingVm &operator=(const RelayingVm &) = delete;

  /// Whether it reaches the target; it does at first.
  void setReaching(bool Reaches) { IsReaching_ = Reaches; }

  /// Sets the port of the target for further connections.
  void setTarget(std::uint16_t Port) { TargetPort_ = Port; }

  /// Whether it relays no requests, as to a target that wants none. Questions
  /// are answered all the same.
  void setRefusing(bool Refuses) { IsRefusing_ = Refuses; }

  /// The number of connections that it has been asked to relay.
  int askedCount() const { return Asked_; }

  /// The number of connections that it relays now.
  std::size_t openTunnels();

  /// The back-off of the last notice; zero before the first.
  Duration toldBackOff() const { return BackOff_; }

private:
  void sendUpdates();

  boost::asio::io_context Loop_{1};
  boost::asio::ip::udp::socket Updates_;
  boost::asio::ip::udp::endpoint Other_;
  TimerService Timers_;
  platform::EngineControl Control_{std::chrono::milliseconds(200)};
  TargetProbe Probe_{Control_, std::make_shared<Metrics>(), nullptr};
  std::unique_ptr<RelayServer> Server_;
  std::atomic<std::uint16_t> TargetPort_;
  std::atomic<bool> IsReaching_ = true;
  std::atomic<bool> IsRefusing_ = false;
  std::atomic<bool> IsEnding_ = false;
  std::atomic<int> Asked_ = 0;
  std::atomic<Duration> BackOff_ = Duration::zero();
  std::thread Thread_;
  std::thread Sender_;
};

} // namespace anvil

#endif // ANVIL_TESTS_INTEGRATION_RELAYINGVM_H
