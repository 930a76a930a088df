#include "Gateway/KeyFreshnessGuard.h"

namespace anvil {

/// How often running requests are checked against the age of the evidence.
static constexpr Duration CheckPeriod = std::chrono::milliseconds(500);

KeyFreshnessGuard::KeyFreshnessGuard(
    const DaemonSettings &Settings, TimerService &Timers,
    std::shared_ptr<ConfigState> State,
    std::shared_ptr<ConfigSyncService> ConfigSync,
    std::shared_ptr<RequestPipeline> Pipeline)
    : Timers_(Timers), State_(std::move(State)),
      ConfigSync_(std::move(ConfigSync)), Pipeline_(std::move(Pipeline)),
      Rule_(std::chrono::milliseconds(Settings.Config_.EvidenceGraceMs_)) {
  Pipeline_->admission().setKeyFreshnessHook(
      [this](const Customer &Owner, TimePoint Now) {
        return Rule_.check(Owner, ConfigSync_->confirmedAt(), Now);
      });
}

std::vector<std::string> KeyFreshnessGuard::dependencies() const {
  return {std::string(ConfigSyncService::Name),
          std::string(RequestPipeline::Name)};
}

Status KeyFreshnessGuard::start() {
  Check_ = Timers_.every(CheckPeriod, BootClock::now(), [this](TimePoint) {
    TimePoint Now = BootClock::now();
    Pipeline_->endRequests("requests_ended_without_evidence",
                           [&](const std::string &KeyName) {
                             return isKeyAccepted(KeyName, Now);
                           });
  });
  return std::monostate{};
}

void KeyFreshnessGuard::stop() { Check_.cancel(); }

bool KeyFreshnessGuard::isKeyAccepted(const std::string &KeyName,
                                      TimePoint Now) const {
  const ObjectSet &Objects = State_->current()->Objects_;
  const Key *Known = Objects.find<Key>(KeyName);
  const Customer *Owner =
      Known ? Objects.find<Customer>(Known->Customer_) : nullptr;
  return Owner && Rule_.isAccepted(*Owner, ConfigSync_->confirmedAt(), Now);
}

} // namespace anvil
