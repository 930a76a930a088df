#include "Entry/CrashProbe.h"

#include "Entry/RandomFraction.h"
#include "Entry/RequestRun.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "TableService/Backoff.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// The delay before the probe; a crashed target refuses connections by then.
static constexpr Duration ProbeDelay = std::chrono::milliseconds(30);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);

/// The waits between probes of an unreachable target.
static constexpr Duration MinProbeWait = std::chrono::milliseconds(300);
static constexpr Duration MaxProbeWait = std::chrono::milliseconds(1500);

static asio::awaitable<void> watchUnreachable(RequestServices &Shared,
                                              TargetChoice Unreachable) {
  TimePoint Since = BootClock::now();
  Backoff ProbeWaits(MinProbeWait, MaxProbeWait);
  while (Shared.Picker_->isUnreachable(Unreachable)) {
    co_await pauseFor(ProbeWaits.next(randomFraction()));
    HttpConnection Connection;
    Status Opened =
        co_await Connection.open(Unreachable.Address_, ProbeTimeout);
    if (!isOk(Opened))
      continue;
    Shared.Picker_->markReachable(Unreachable);
    logEvent(LogLevel::Info, "target_regained",
             {{"target", Unreachable.Target_},
              {"away_ms", toMillis(BootClock::now() - Since)}});
    co_return;
  }
  Shared.Picker_->markReachable(Unreachable);
}

void excludeTarget(RequestServices &Shared, const TargetChoice &Unreachable) {
  if (!Shared.Picker_->markUnreachable(Unreachable))
    return;
  logEvent(LogLevel::Warning, "target_lost",
           {{"target", Unreachable.Target_},
            {"incarnation", Unreachable.Incarnation_}});
  spawn(Shared.Executor_, watchUnreachable(Shared, Unreachable));
}

static asio::awaitable<void> probe(RequestServices &Shared, TargetChoice Lost,
                                   std::string Digest,
                                   std::vector<PartId> Parts) {
  co_await pauseFor(ProbeDelay);
  HttpConnection Connection;
  Status Opened = co_await Connection.open(Lost.Address_, ProbeTimeout);
  if (isOk(Opened))
    co_return;
  logEvent(LogLevel::Warning, "target_crashed",
           {{"target", Lost.Target_},
            {"incarnation", Lost.Incarnation_},
            {"digest", Digest},
            {"suspect_parts", Parts.size()}});
  Shared.Fleet_->recordCrash(Digest, Parts, Lost.Target_, Lost.Incarnation_,
                             BootClock::now());
  excludeTarget(Shared, Lost);
}

void probeAfterFailure(RequestServices &Shared, const TargetChoice &Lost,
                       const std::string &Digest, std::vector<PartId> Parts) {
  spawn(Shared.Executor_, probe(Shared, Lost, Digest, std::move(Parts)));
}

} // namespace anvil
