#include "Placement/EngineMonitor.h"

#include "Http/Spawn.h"
#include "Placement/PlacementLookup.h"

#include "Placement/EngineClient.h"

namespace anvil {

namespace asio = boost::asio;

/// The number of concurrent polls of targets without a fresh report.
static constexpr std::size_t MaxStalePolls = 8;

EngineMonitor::EngineMonitor(asio::any_io_executor Executor,
                             const DaemonSettings &Settings,
                             TimerService &Timers,
                             std::shared_ptr<ConfigState> State,
                             std::shared_ptr<TargetDirectory> Directory)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      State_(std::move(State)), Directory_(std::move(Directory)) {}

Status EngineMonitor::start() {
  Duration Period = std::chrono::milliseconds(Settings_.Targets_.StatusPollMs_);
  PollTimer_ =
      Timers_.every(Period, BootClock::now(), [this](TimePoint) { pollAll(); });
  return std::monostate{};
}

void EngineMonitor::stop() { PollTimer_.cancel(); }

bool EngineMonitor::isFresh(const std::string &TargetName) const {
  const TargetReport *Report = Directory_->find(TargetName);
  return Report && BootClock::now() - Report->ReportedAt_ < MinReportAge_;
}

void EngineMonitor::pollAll() {
  for (const auto &[Name, TargetObject] :
       State_->current()->Objects_.all<Target>()) {
    if (TargetObject.TargetKind_ != TargetKind::Engine)
      continue;
    if (isFresh(Name))
      continue;
    bool IsAtLimit =
        MinReportAge_ > Duration{0} && Polling_.size() >= MaxStalePolls;
    if (IsAtLimit || !Polling_.insert(Name).second)
      continue;
    Endpoint Address = endpointOf(TargetObject);
    spawn(Executor_, poll(Name, std::move(Address)));
  }
}

asio::awaitable<void> EngineMonitor::poll(std::string TargetName,
                                          Endpoint Address) {
  EngineClient Client(std::move(Address));
  auto Reply = co_await Client.status(
      std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_));
  Polling_.erase(TargetName);
  TargetReport Report;
  if (const TargetReport *Previous = Directory_->find(TargetName))
    Report = *Previous;
  Report.Target_ = TargetName;
  Report.ReportedAt_ = BootClock::now();
  Report.Reachable_ = isOk(Reply);
  Report.Owner_.clear();
  if (Report.Reachable_) {
    const EngineStatus &EngineState = valueOf(Reply);
    Report.Incarnation_ = EngineState.Incarnation_;
    Report.Running_ = EngineState.Running_;
    Report.Waiting_ = EngineState.Waiting_;
    Report.Resident_.clear();
    for (const ResidentAdapter &Adapter : EngineState.Resident_)
      Report.Resident_.insert(Adapter.Name_);
  }
  Directory_->update(std::move(Report));
}

} // namespace anvil
