#ifndef ANVIL_PROCESS_SERVICERUNNER_H
#define ANVIL_PROCESS_SERVICERUNNER_H

#include "Kernel/Clock.h"
#include "Kernel/ServiceRegistry.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace anvil {

/// Runs the services of a process from their start to their end, and handles
/// its signals meanwhile.
class ServiceRunner {
public:
  ServiceRunner(boost::asio::io_context &Loop, ServiceRegistry &Services);

  /// Sets the function that reloads the settings on SIGHUP.
  void onReload(std::function<void()> Hook) { Reload_ = std::move(Hook); }

  /// Sets the function that is called once the services are started.
  void onStarted(std::function<void()> Hook) { Started_ = std::move(Hook); }

  /// Sets the function that begins to stop the started services on SIGTERM or
  /// SIGINT. It is called once and leads to `finish`.
  void onStop(std::function<void()> Hook) { Stop_ = std::move(Hook); }

  /// Claims what the services need, starts them and runs until `finish`. While
  /// another process holds something, the claim is repeated for as long as a
  /// process with the same `StopLimit` may take to stop. `Report` tells others
  /// of the start; it is repeated while it fails. SIGTERM or SIGINT during the
  /// start ends it. Returns the error that prevented the start.
  Status run(Duration StopLimit, std::function<Status()> Report);

  /// Stops the services and ends `run`.
  void finish();

private:
  boost::asio::awaitable<void> start(Duration StopLimit);
  boost::asio::awaitable<Status> claim(Duration StopLimit);
  void waitForSignal();

  boost::asio::io_context &Loop_;
  ServiceRegistry &Services_;
  boost::asio::signal_set Signals_;
  boost::asio::steady_timer RetryTimer_;
  std::function<void()> Reload_;
  std::function<void()> Stop_;
  std::function<void()> Started_;
  std::function<Status()> Report_;
  Status Outcome_;
  bool IsStarted_ = false;
  bool IsStopping_ = false;
};

} // namespace anvil

#endif // ANVIL_PROCESS_SERVICERUNNER_H
