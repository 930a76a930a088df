#include "Entry/TargetListService.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Telemetry/Log.h"
#include "platform/TargetCodec.h"

#include <utility>

namespace anvil {

namespace asio = boost::asio;

static ReadingTurnOptions turnOptions(const EntrySettings &Settings) {
  ReadingTurnOptions Options;
  Options.Period_ = std::chrono::milliseconds(Settings.Store_.TargetListMs_);
  return Options;
}

TargetListService::TargetListService(
    asio::any_io_executor Executor, const EntrySettings &Settings,
    std::shared_ptr<platform::StoreClient> Store)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Store_(std::move(Store)), Turn_(turnOptions(Settings)) {}

Status TargetListService::start() {
  spawn(Executor_, follow());
  return std::monostate{};
}

bool TargetListService::isTurn(TimePoint Now) const {
  return !FreshAt_ || Differs_ ||
         *FreshAt_ + Turn_.patience(PlaceInLine_()) <= Now;
}

asio::awaitable<void> TargetListService::follow() {
  while (true) {
    while (!isTurn(BootClock::now()))
      co_await pauseFor(ReadingTurn::CheckPeriod);
    TimePoint AskedAt = BootClock::now();
    // A doubt that comes up from here on is not cleared by this answer.
    bool Differed = std::exchange(Differs_, false);
    auto Page = co_await Store_->list(platform::ForeignTable::Targets);
    if (!isOk(Page)) {
      Differs_ |= Differed;
      Roster_.noteOutage();
      co_await pauseFor(
          std::chrono::milliseconds(Settings_.Store_.TargetListMs_));
      continue;
    }
    // Another VM asked later and told what it read before this answer came.
    if (FreshAt_ && *FreshAt_ > AskedAt)
      continue;
    std::vector<RegisteredTarget> Entries;
    for (const TableRow &Row : valueOf(Page).Rows_)
      if (auto Entry = platform::decodeRegisteredTarget(Row.Key_, Row.Value_))
        Entries.push_back(std::move(*Entry));
    TimePoint Now = BootClock::now();
    FreshAt_ = AskedAt;
    Listing_.replace(Entries, Now);
    applyToRoster(Entries, Now);
    Read_.fire(AskedAt);
  }
}

void TargetListService::applyToRoster(
    const std::vector<RegisteredTarget> &Fresh, TimePoint Now) {
  for (const RosterChange &Change :
       Roster_.applyList(Listing_.entries(), Now)) {
    logEvent(LogLevel::Info, "target_standing",
             {{"target", Change.Id_},
              {"standing", targetStandingName(Change.Standing_)},
              {"new_incarnation", Change.NewIncarnation_}});
    Changed_.fire(Change);
  }
  Updated_.fire(Fresh);
}

void TargetListService::noteReadElsewhere(TimePoint At,
                                          const ListingNews &News) {
  if (!FreshAt_ || At <= *FreshAt_)
    return;
  TimePoint Now = BootClock::now();
  if (!Listing_.adopt(News.Changes_, News.Digest_, Now)) {
    Differs_ = true;
    return;
  }
  FreshAt_ = At;
  Roster_.extendLapse(Now + News.LapseLeft_);
  applyToRoster(News.Changes_.Entries_, Now);
}

ListingNews TargetListService::news(TimePoint Now) const {
  return {Listing_.recentChanges(Now), Listing_.digest(),
          Roster_.lapseLeft(Now)};
}

} // namespace anvil
