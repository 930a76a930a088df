#include "Placement/EngineMonitor.h"

#include "Http/Spawn.h"
#include "Placement/PlacementLookup.h"

#include "Placement/EngineClient.h"

namespace anvil {

namespace asio = boost::asio;

/// Polls of targets without a fresh report that run at once.
static constexpr std::size_t MostStalePolls = 8;

EngineMonitor::EngineMonitor(asio::any_io_executor Executor,
                             const DaemonSettings &Settings,
                             TimerService &Timers,
                             std::shared_ptr<ConfigState> State,
                             std::shared_ptr<TargetDirectory> Directory)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      State_(std::move(State)), Directory_(std::move(Directory)) {}

Status EngineMonitor::start() {
  Duration Period = std::chrono::milliseconds(Settings_.Targets_.StatusPollMs_);
  Period_ =
      Timers_.every(Period, BootClock::now(), [this](TimePoint) { pollAll(); });
  return std::monostate{};
}

void EngineMonitor::stop() { Period_.cancel(); }

bool EngineMonitor::isFresh(const std::string &TargetName) const {
  const TargetReport *Known = Directory_->find(TargetName);
  return Known && BootClock::now() - Known->ReportedAt_ < StaleAge_;
}

void EngineMonitor::pollAll() {
  for (const auto &[Name, Known] : State_->current()->Objects_.all<Target>()) {
    if (Known.TargetKind_ != TargetKind::Engine)
      continue;
    if (isFresh(Name))
      continue;
    bool IsOneTooMany =
        StaleAge_ > Duration{0} && Polling_.size() >= MostStalePolls;
    if (IsOneTooMany || !Polling_.insert(Name).second)
      continue;
    Endpoint Address = endpointOf(Known);
    spawn(Executor_, poll(Name, std::move(Address)));
  }
}

asio::awaitable<void> EngineMonitor::poll(std::string TargetName,
                                          Endpoint Address) {
  EngineClient Client(std::move(Address));
  auto Answer = co_await Client.status(
      std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_));
  Polling_.erase(TargetName);
  TargetReport Report;
  if (const TargetReport *Old = Directory_->find(TargetName))
    Report = *Old;
  Report.Target_ = TargetName;
  Report.ReportedAt_ = BootClock::now();
  Report.Reachable_ = isOk(Answer);
  Report.Owner_.clear();
  if (Report.Reachable_) {
    const EngineStatus &Given = valueOf(Answer);
    Report.Incarnation_ = Given.Incarnation_;
    Report.Running_ = Given.Running_;
    Report.Waiting_ = Given.Waiting_;
    Report.Resident_.clear();
    for (const ResidentAdapter &Adapter : Given.Resident_)
      Report.Resident_.insert(Adapter.Name_);
  }
  Directory_->update(std::move(Report));
}

} // namespace anvil
