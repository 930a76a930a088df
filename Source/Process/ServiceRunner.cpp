#include "Process/ServiceRunner.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Process/ProcessSetup.h"
#include "Telemetry/Log.h"

#include <csignal>
#include <utility>

namespace anvil {

namespace asio = boost::asio;

/// How long to wait before a claim that another process prevented is repeated.
static constexpr Duration ClaimRetryDelay = std::chrono::milliseconds(50);

/// How much longer than its limit a stop may take, since services hand over to
/// other VMs and write to the store meanwhile.
static constexpr Duration StopOverrun = std::chrono::seconds(5);

/// How long to wait before the report of the start is repeated.
static constexpr Duration ReportRetryDelay = std::chrono::seconds(1);

ServiceRunner::ServiceRunner(asio::io_context &Loop, ServiceRegistry &Services)
    : Loop_(Loop), Services_(Services), Signals_(Loop, SIGTERM, SIGINT, SIGHUP),
      RetryTimer_(Loop) {
  admitSignals();
}

Status ServiceRunner::run(Duration StopLimit, std::function<Status()> Report) {
  Report_ = std::move(Report);
  waitForSignal();
  spawn(Loop_.get_executor(), start(StopLimit));
  Loop_.run();
  return Outcome_;
}

void ServiceRunner::finish() {
  Services_.stopAll();
  Loop_.stop();
}

void ServiceRunner::waitForSignal() {
  Signals_.async_wait([this](boost::system::error_code Cause, int Signal) {
    if (Cause)
      return;
    waitForSignal();
    if (Signal == SIGHUP) {
      if (Reload_)
        Reload_();
      return;
    }
    if (std::exchange(IsStopping_, true))
      return;
    if (IsStarted_)
      Stop_();
    else
      finish();
  });
}

asio::awaitable<Status> ServiceRunner::claim(Duration StopLimit) {
  Duration Limit = StopLimit + StopOverrun;
  TimePoint Deadline = BootClock::now() + Limit;
  bool IsLogged = false;
  Status Claimed = Services_.claimAll();
  while (!isOk(Claimed) && errorOf(Claimed).Code_ == ErrorCode::Conflict &&
         BootClock::now() < Deadline) {
    if (!std::exchange(IsLogged, true))
      logEvent(LogLevel::Warning, "start_waits",
               {{"reason", errorOf(Claimed).describe()},
                {"limit_ms", toMillis(Limit)}});
    co_await pauseFor(RetryTimer_, ClaimRetryDelay);
    Claimed = Services_.claimAll();
  }
  co_return Claimed;
}

asio::awaitable<void> ServiceRunner::start(Duration StopLimit) {
  Outcome_ = co_await claim(StopLimit);
  if (isOk(Outcome_))
    Outcome_ = Services_.startAll();
  if (!isOk(Outcome_)) {
    Loop_.stop();
    co_return;
  }
  IsStarted_ = true;
  if (Started_)
    Started_();
  bool IsLogged = false;
  Status Reported = Report_();
  while (!isOk(Reported)) {
    if (!std::exchange(IsLogged, true))
      logEvent(LogLevel::Error, "start_not_reported",
               {{"reason", errorOf(Reported).describe()}});
    co_await pauseFor(RetryTimer_, ReportRetryDelay);
    Reported = Report_();
  }
}

} // namespace anvil
