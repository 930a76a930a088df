#include "Gateway/KeyGuard.h"

namespace anvil {

/// How often running requests are checked against the age of the evidence.
static constexpr Duration CheckPeriod = std::chrono::milliseconds(500);

KeyGuard::KeyGuard(const DaemonSettings &Settings, TimerService &Timers,
                   std::shared_ptr<ConfigState> State,
                   std::shared_ptr<ConfigSpread> Spread,
                   std::shared_ptr<RequestPipeline> Pipeline)
    : Timers_(Timers), State_(std::move(State)), Spread_(std::move(Spread)),
      Pipeline_(std::move(Pipeline)),
      Rule_(std::chrono::milliseconds(Settings.Config_.EvidenceGraceMs_)) {
  Pipeline_->admission().setKeyFreshnessHook(
      [this](const Customer &Owner, TimePoint Now) {
        return Rule_.check(Owner, Spread_->evidenceAt(), Now);
      });
}

std::vector<std::string> KeyGuard::dependencies() const {
  return {std::string(ConfigSpread::Name), std::string(RequestPipeline::Name)};
}

Status KeyGuard::start() {
  Check_ = Timers_.every(CheckPeriod, BootClock::now(), [this](TimePoint) {
    TimePoint Now = BootClock::now();
    Pipeline_->endRequests("requests_ended_without_evidence",
                           [&](const std::string &KeyName) {
                             return isKeyAccepted(KeyName, Now);
                           });
  });
  return std::monostate{};
}

void KeyGuard::stop() { Check_.cancel(); }

bool KeyGuard::isKeyAccepted(const std::string &KeyName, TimePoint Now) const {
  const ObjectSet &Objects = State_->current()->Objects_;
  const Key *Known = Objects.find<Key>(KeyName);
  const Customer *Owner =
      Known ? Objects.find<Customer>(Known->Customer_) : nullptr;
  return Owner && Rule_.isBelieved(*Owner, Spread_->evidenceAt(), Now);
}

} // namespace anvil
