#include "Entry/TargetListService.h"

#include "Entry/Pause.h"
#include "Http/Spawn.h"
#include "Telemetry/Log.h"
#include "platform/TargetCodec.h"

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;

/// The part of the period by which readings are spread over the VMs.
static constexpr double Spread = 0.2;

/// The readers up to which each reads at the full pace, and by how much the
/// period is stretched at the most; leavers must be seen within seconds also by
/// a VM that hears no other.
static constexpr double FullReaders = 16;
static constexpr double MostStretch = 1.7;

TargetListService::TargetListService(
    asio::any_io_executor Executor, const EntrySettings &Settings,
    std::shared_ptr<platform::StoreClient> Store)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Store_(std::move(Store)) {}

Status TargetListService::start() {
  spawn(Executor_, follow());
  return std::monostate{};
}

asio::awaitable<void> TargetListService::follow() {
  while (true) {
    auto Page = co_await Store_->list(platform::ForeignTable::Targets);
    if (isOk(Page))
      apply(valueOf(Page).Rows_);
    else
      Roster_.noteOutage();
    double Part = (1 - Spread * randomPart()) *
                  std::clamp(static_cast<double>(Readers_) / FullReaders, 1.0,
                             MostStretch);
    Duration Period = std::chrono::milliseconds(Settings_.Store_.TargetListMs_);
    co_await pauseFor(std::chrono::duration_cast<Duration>(Period * Part));
  }
}

void TargetListService::apply(const std::vector<TableRow> &Rows) {
  std::vector<RegisteredTarget> Entries;
  for (const TableRow &Row : Rows)
    if (auto Entry = platform::decodeRegisteredTarget(Row.Key_, Row.Value_))
      Entries.push_back(std::move(*Entry));
  TimePoint Now = BootClock::now();
  for (const RosterChange &Change :
       Roster_.applyList(std::move(Entries), Now)) {
    logEvent(LogLevel::Info, "target_standing",
             {{"target", Change.Id_},
              {"standing", targetStandingName(Change.Standing_)},
              {"new_incarnation", Change.NewIncarnation_}});
    Changed_.fire(Change);
  }
  Read_.fire();
}

} // namespace anvil
