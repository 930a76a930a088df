#ifndef ANVIL_ENTRY_ENTRYDAEMON_H
#define ANVIL_ENTRY_ENTRYDAEMON_H

#include "Http/TimerDriver.h"
#include "Kernel/ServiceRegistry.h"
#include "Kernel/TimerService.h"
#include "Process/ServiceRunner.h"
#include "Settings/EntrySettings.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace anvil {

/// The process of an entry VM that serves routes on registered targets:
/// creates the services, runs them and stops them in order on SIGTERM.
class EntryDaemon {
public:
  explicit EntryDaemon(EntrySettings Settings);
  ~EntryDaemon();

  /// Starts all services, calls `Report` and runs until the daemon has stopped;
  /// see `ServiceRunner::run`. The error tells what prevented the start.
  Status run(std::function<Status()> Report);

  /// The ports in use, by the name of what listens there.
  std::map<std::string, std::uint16_t> ports() const;

  /// Sets the function that reloads the settings on SIGHUP.
  void onReload(std::function<void()> Hook) {
    Runner_.onReload(std::move(Hook));
  }

private:
  /// How long this process may take to stop.
  Duration stopLimit() const;
  void beginStop();
  void waitForRequests();
  void waitForReplies();

  EntrySettings Settings_;
  std::string Incarnation_;
  boost::asio::io_context Loop_;
  TimerService Timers_;
  TimerDriver TimerDriver_;
  ServiceRegistry Services_;
  ServiceRunner Runner_;
  boost::asio::steady_timer StopTimer_;
  /// When a stopping VM sends the final replies to requests that are still
  /// running.
  TimePoint FinalRepliesAt_{};
};

} // namespace anvil

#endif // ANVIL_ENTRY_ENTRYDAEMON_H
