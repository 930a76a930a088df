#ifndef ANVIL_GATEWAY_KEYFRESHNESSGUARD_H
#define ANVIL_GATEWAY_KEYFRESHNESSGUARD_H

#include "Admission/KeyFreshness.h"
#include "Config/ConfigSyncService.h"
#include "Gateway/RequestPipeline.h"
#include "Kernel/TimerService.h"
#include "Settings/DaemonSettings.h"

#include <memory>

namespace anvil {

/// Rejects API keys, and cancels the requests that use them, once this VM has
/// been without evidence that its configuration is current for longer than the
/// grace period.
class KeyFreshnessGuard : public Service {
public:
  static constexpr std::string_view Name = "key_guard";

  KeyFreshnessGuard(const DaemonSettings &Settings, TimerService &Timers,
                    std::shared_ptr<ConfigState> State,
                    std::shared_ptr<ConfigSyncService> ConfigSync,
                    std::shared_ptr<RequestPipeline> Pipeline);

  std::string_view serviceName() const override { return Name; }
  std::vector<std::string> dependencies() const override;
  Status start() override;
  void stop() override;

private:
  bool isKeyAccepted(const std::string &KeyName, TimePoint Now) const;

  TimerService &Timers_;
  std::shared_ptr<ConfigState> State_;
  std::shared_ptr<ConfigSyncService> ConfigSync_;
  std::shared_ptr<RequestPipeline> Pipeline_;
  KeyFreshness Rule_;
  TimerService::Subscription Check_;
};

} // namespace anvil

#endif // ANVIL_GATEWAY_KEYFRESHNESSGUARD_H
