#ifndef ANVIL_CONFIG_CONFIGPOLLER_H
#define ANVIL_CONFIG_CONFIGPOLLER_H

#include "Config/ConfigPublisher.h"
#include "Config/ConfigState.h"
#include "Kernel/TimerService.h"
#include "Platform/PlatformService.h"
#include "Settings/DaemonSettings.h"

#include <boost/asio/any_io_executor.hpp>

#include <memory>

namespace anvil {

/// Reads the head of the configuration from the platform at a steady period.
class ConfigPoller : public Service {
public:
  static constexpr std::string_view Name = "config_poller";

  ConfigPoller(boost::asio::any_io_executor Executor,
               const DaemonSettings &Settings, TimerService &Timers,
               std::shared_ptr<PlatformService> Platform,
               std::shared_ptr<ConfigPublisher> Publisher,
               std::shared_ptr<ConfigState> State);

  std::string_view serviceName() const override { return Name; }
  Status start() override;
  void stop() override;

private:
  boost::asio::awaitable<void> poll();

  boost::asio::any_io_executor Executor_;
  const DaemonSettings &Settings_;
  TimerService &Timers_;
  std::shared_ptr<PlatformService> Platform_;
  std::shared_ptr<ConfigPublisher> Publisher_;
  std::shared_ptr<ConfigState> State_;
  TimerService::Subscription Period_;
  bool Polling_ = false;
};

} // namespace anvil

#endif // ANVIL_CONFIG_CONFIGPOLLER_H
