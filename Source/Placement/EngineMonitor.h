#ifndef ANVIL_PLACEMENT_ENGINEMONITOR_H
#define ANVIL_PLACEMENT_ENGINEMONITOR_H

#include "Config/ConfigState.h"
#include "Kernel/TimerService.h"
#include "Routing/TargetDirectory.h"
#include "Settings/DaemonSettings.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <memory>
#include <set>

namespace anvil {

/// Polls the status of the engines and updates the target directory.
class EngineMonitor : public Service {
public:
  static constexpr std::string_view Name = "engine_monitor";

  EngineMonitor(boost::asio::any_io_executor Executor,
                const DaemonSettings &Settings, TimerService &Timers,
                std::shared_ptr<ConfigState> State,
                std::shared_ptr<TargetDirectory> Directory);

  /// Polls only targets whose report is older than this, and at most a few in
  /// each period. Zero polls all of them.
  void setMinReportAge(Duration Age) { MinReportAge_ = Age; }

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override;

private:
  bool isFresh(const std::string &TargetName) const;
  void pollAll();
  boost::asio::awaitable<void> poll(std::string TargetName, Endpoint Address);

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<TargetDirectory> Directory_;
  std::set<std::string> Polling_;
  Duration MinReportAge_{0};
  TimerService::Subscription PollTimer_;
};

} // namespace anvil

#endif // ANVIL_PLACEMENT_ENGINEMONITOR_H
