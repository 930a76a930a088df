#ifndef ANVIL_PROGRAMS_DAEMON_H
#define ANVIL_PROGRAMS_DAEMON_H

#include "Http/TimerDriver.h"
#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"
#include "Placement/EngineMonitor.h"
#include "Process/ServiceRunner.h"
#include "Settings/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace anvil {

/// The `anvild` process in the mode with its own configuration objects: creates
/// the services, runs them, and shuts them down gracefully on SIGTERM or
/// SIGINT.
class Daemon {
public:
  explicit Daemon(DaemonSettings Settings);
  ~Daemon();

  /// Starts all services, calls `Report` and runs until the daemon has stopped;
  /// see `ServiceRunner::run`. The error tells what prevented the start.
  Status run(std::function<Status()> Report);

  /// The ports in use, by name: `caller`, `admin` and `peer`.
  std::map<std::string, std::uint16_t> ports() const;

  /// Sets the function that reloads the settings on SIGHUP.
  void onReload(std::function<void()> Hook) {
    Runner_.onReload(std::move(Hook));
  }

private:
  void addPlatform();
  void addConfiguration();
  void addDecisionServices();
  void addQuota();
  void addRouting();
  void addOwnership(EngineMonitor &Monitor);
  void addServers();
  void addStatusSections();
  /// How long this process may take to stop.
  Duration stopLimit() const;
  void beginStop();
  boost::asio::awaitable<void> handOverServices();
  void stopWhenIdle();

  DaemonSettings Settings_;
  std::string Incarnation_;
  boost::asio::io_context Loop_;
  TimerService Timers_;
  TimerDriver TimerDriver_;
  ServiceRegistry Services_;
  ServiceRunner Runner_;
  boost::asio::steady_timer StopTimer_;
  TimePoint StopDeadline_{};
  bool Stopping_ = false;
};

} // namespace anvil

#endif // ANVIL_PROGRAMS_DAEMON_H
