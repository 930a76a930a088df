#ifndef ANVIL_PROGRAMS_DAEMON_H
#define ANVIL_PROGRAMS_DAEMON_H

#include "Http/TimerPump.h"
#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"
#include "Placement/EngineMonitor.h"
#include "Settings/DaemonSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace anvil {

/// One entry VM's process: makes the services, runs them and stops them in
/// good order on SIGTERM or SIGINT.
class Daemon {
public:
  explicit Daemon(DaemonSettings Settings);
  ~Daemon();

  /// Starts all services. The error names the service that failed.
  Status start();

  /// Runs until the daemon has stopped.
  void run();

  /// The ports in use, by the name of what listens there.
  std::map<std::string, std::uint16_t> ports() const;

private:
  void addPlatform();
  void addConfig();
  void addDeciders();
  void addQuota();
  void addRouting();
  void addOwners(EngineMonitor &Monitor);
  void addFrontDoors();
  void addStatusSections();
  void waitForSignal();
  void beginStop();
  boost::asio::awaitable<void> handOverAll();
  void waitForRequests();

  DaemonSettings Settings_;
  std::string Incarnation_;
  boost::asio::io_context Loop_;
  TimerService Timers_;
  TimerPump Pump_;
  ServiceRegistry Services_;
  boost::asio::signal_set Signals_;
  boost::asio::steady_timer StopTimer_;
  TimePoint StopDeadline_{};
  bool Stopping_ = false;
};

} // namespace anvil

#endif // ANVIL_PROGRAMS_DAEMON_H
