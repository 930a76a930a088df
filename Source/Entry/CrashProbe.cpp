#include "Entry/CrashProbe.h"

#include "Entry/RequestRun.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// The delay before the probe; a crashed target refuses connections by then.
static constexpr Duration ProbeDelay = std::chrono::milliseconds(30);
static constexpr Duration ProbeTimeout = std::chrono::milliseconds(300);

static asio::awaitable<void> probe(RequestServices &Shared, TargetChoice Lost,
                                   std::string Digest,
                                   std::vector<PartId> Parts) {
  co_await pauseFor(ProbeDelay);
  HttpConnection Connection;
  Status Opened = co_await Connection.open(Lost.Address_, ProbeTimeout);
  if (isOk(Opened))
    co_return;
  // A target that other VMs connect to runs; this VM is cut off from it.
  TargetAddress Address = addressOf(Lost);
  if (co_await Shared.Reach_->isReachedElsewhere(Address)) {
    logEvent(LogLevel::Info, "target_cut_off",
             {{"target", Lost.Target_},
              {"incarnation", Lost.Incarnation_},
              {"digest", Digest}});
    co_return;
  }
  logEvent(LogLevel::Warning, "target_crashed",
           {{"target", Lost.Target_},
            {"incarnation", Lost.Incarnation_},
            {"digest", Digest},
            {"suspect_parts", Parts.size()}});
  Shared.Fleet_->recordCrash(Digest, Parts, Lost.Target_, Lost.Incarnation_,
                             BootClock::now());
}

void probeAfterFailure(RequestServices &Shared, const TargetChoice &Lost,
                       const std::string &Digest, std::vector<PartId> Parts) {
  spawn(Shared.Executor_, probe(Shared, Lost, Digest, std::move(Parts)));
}

} // namespace anvil
