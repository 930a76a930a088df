#include "Entry/IncarnationCheck.h"

#include "Http/Spawn.h"

namespace anvil {

namespace asio = boost::asio;

/// How often a wait for the result looks at it; the call ends by itself.
static constexpr Duration WaitPeriod = std::chrono::seconds(1);

std::shared_ptr<IncarnationCheck>
IncarnationCheck::begin(const asio::any_io_executor &Executor,
                        std::shared_ptr<platform::EngineControl> Engines,
                        const TargetChoice &Chosen) {
  auto Check = std::make_shared<IncarnationCheck>();
  platform::EngineAddress Engine{Chosen.Target_, Chosen.Address_};
  spawn(Executor, Check->ask(Check, std::move(Engines), std::move(Engine),
                             Chosen.Incarnation_));
  return Check;
}

asio::awaitable<IncarnationFinding> IncarnationCheck::finding() {
  while (!Finding_)
    co_await Found_.waitUntil(BootClock::now() + WaitPeriod);
  co_return *Finding_;
}

asio::awaitable<void>
IncarnationCheck::ask(std::shared_ptr<IncarnationCheck>,
                      std::shared_ptr<platform::EngineControl> Engines,
                      platform::EngineAddress Engine,
                      std::int64_t Incarnation) {
  auto Report = co_await Engines->report(std::move(Engine));
  Finding_ = findingOf(Report, Incarnation);
  Found_.notify();
}

} // namespace anvil
