#include "Config/ConfigPoller.h"

#include "Http/Spawn.h"

#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

ConfigPoller::ConfigPoller(asio::any_io_executor Executor,
                           const DaemonSettings &Settings, TimerService &Timers,
                           std::shared_ptr<PlatformService> Platform,
                           std::shared_ptr<ConfigPublisher> Publisher,
                           std::shared_ptr<ConfigState> State)
    : Executor_(std::move(Executor)), Settings_(Settings), Timers_(Timers),
      Platform_(std::move(Platform)), Publisher_(std::move(Publisher)),
      State_(std::move(State)) {}

Status ConfigPoller::start() {
  auto Run = [this](TimePoint) {
    if (!std::exchange(Polling_, true))
      spawn(Executor_, poll());
  };
  Duration Period = std::chrono::milliseconds(Settings_.Config_.PollMs_);
  Period_ = Timers_.every(Period, BootClock::now(), Run);
  Run({});
  return std::monostate{};
}

void ConfigPoller::stop() { Period_.cancel(); }

asio::awaitable<void> ConfigPoller::poll() {
  std::vector<std::string> Keys;
  Keys.emplace_back(ConfigHead::Row);
  auto Rows = co_await Platform_->read(std::move(Keys));
  Polling_ = false;
  if (!isOk(Rows) || valueOf(Rows).empty())
    co_return;
  auto Head = decodeHead(valueOf(Rows).front().Value_);
  if (!isOk(Head)) {
    logEvent(LogLevel::Error, "config_head_unreadable",
             {{"problem", errorOf(Head).describe()}});
    co_return;
  }
  if (valueOf(Head).Revision_ > State_->current()->Revision_) {
    auto Snapshot = co_await Publisher_->load(valueOf(Head));
    if (!isOk(Snapshot)) {
      logEvent(LogLevel::Warning, "config_load_failed",
               {{"problem", errorOf(Snapshot).describe()}});
      co_return;
    }
    if (State_->accept(valueOf(Snapshot)))
      logEvent(LogLevel::Info, "config_in_force",
               {{"revision", State_->current()->Revision_}});
  }
  State_->markCurrent();
}

} // namespace anvil
