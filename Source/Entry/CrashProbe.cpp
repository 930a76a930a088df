#include "Entry/CrashProbe.h"

#include "Entry/Pause.h"
#include "Entry/RequestRun.h"
#include "Http/Spawn.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// How long after the loss the target is tried; a crashed one refuses then.
static constexpr Duration ProbeDelay = std::chrono::milliseconds(30);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);

static asio::awaitable<void> probe(RequestServices &Shared, Pick Lost,
                                   std::string Digest) {
  co_await pauseFor(ProbeDelay);
  HttpConnection Connection;
  Status Opened = co_await Connection.open(Lost.Address_, ProbeTimeout);
  TimePoint Now = BootClock::now();
  if (isOk(Opened))
    co_return;
  logEvent(LogLevel::Warning, "target_crashed",
           {{"target", Lost.Target_},
            {"incarnation", Lost.Incarnation_},
            {"digest", Digest}});
  Shared.Picker_->noteDown(Lost.Target_, Now);
  Shared.Fleet_->noteCrash(Digest, Lost.Target_, Lost.Incarnation_, Now);
}

void probeAfterLoss(RequestServices &Shared, const Pick &Lost,
                    const std::string &Digest) {
  spawn(Shared.Executor_, probe(Shared, Lost, Digest));
}

} // namespace anvil
