#include "Entry/CrashProbe.h"

#include "Entry/RandomPart.h"
#include "Entry/RequestRun.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "TableService/Backoff.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// How long after the loss the target is tried; a crashed one refuses then.
static constexpr Duration ProbeDelay = std::chrono::milliseconds(30);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);

/// The waits between tries of a target that can't be reached.
static constexpr Duration LeastProbeWait = std::chrono::milliseconds(300);
static constexpr Duration MostProbeWait = std::chrono::milliseconds(1500);

static asio::awaitable<void> watchDown(RequestServices &Shared,
                                       Pick Unreachable) {
  TimePoint Since = BootClock::now();
  Backoff Waits(LeastProbeWait, MostProbeWait);
  while (Shared.Picker_->isDown(Unreachable)) {
    co_await pauseFor(Waits.next(randomPart()));
    HttpConnection Connection;
    Status Opened =
        co_await Connection.open(Unreachable.Address_, ProbeTimeout);
    if (!isOk(Opened))
      continue;
    Shared.Picker_->noteUp(Unreachable);
    logEvent(LogLevel::Info, "target_regained",
             {{"target", Unreachable.Target_},
              {"away_ms", toMillis(BootClock::now() - Since)}});
    co_return;
  }
  Shared.Picker_->noteUp(Unreachable);
}

void keepOff(RequestServices &Shared, const Pick &Unreachable) {
  if (!Shared.Picker_->noteDown(Unreachable))
    return;
  logEvent(LogLevel::Warning, "target_lost",
           {{"target", Unreachable.Target_},
            {"incarnation", Unreachable.Incarnation_}});
  spawn(Shared.Executor_, watchDown(Shared, Unreachable));
}

static asio::awaitable<void> probe(RequestServices &Shared, Pick Lost,
                                   std::string Digest) {
  co_await pauseFor(ProbeDelay);
  HttpConnection Connection;
  Status Opened = co_await Connection.open(Lost.Address_, ProbeTimeout);
  if (isOk(Opened))
    co_return;
  logEvent(LogLevel::Warning, "target_crashed",
           {{"target", Lost.Target_},
            {"incarnation", Lost.Incarnation_},
            {"digest", Digest}});
  Shared.Fleet_->noteCrash(Digest, Lost.Target_, Lost.Incarnation_,
                           BootClock::now());
  keepOff(Shared, Lost);
}

void probeAfterLoss(RequestServices &Shared, const Pick &Lost,
                    const std::string &Digest) {
  spawn(Shared.Executor_, probe(Shared, Lost, Digest));
}

} // namespace anvil
