#include "Entry/TargetListService.h"

#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Telemetry/Log.h"
#include "platform/TargetCodec.h"

#include <utility>

namespace anvil {

namespace asio = boost::asio;

/// The maximum number of models and adapters that all targets list together.
static constexpr std::size_t MaxListedNames = 250000;

static ReadRotationOptions rotationOptions(const EntrySettings &Settings) {
  ReadRotationOptions Options;
  Options.Period_ =
      std::chrono::milliseconds(Settings.Store_.TargetListPeriodMs_);
  return Options;
}

TargetListService::TargetListService(
    asio::any_io_executor Executor, const EntrySettings &Settings,
    std::shared_ptr<platform::StoreClient> Store)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Store_(std::move(Store)), ReadRotation_(rotationOptions(Settings)) {
  // Entries that are missing in the copy are written again if their targets
  // run.
  Store_->EraChanged_.attach(
      [this](std::uint64_t) { Roster_.recordListRestored(); });
}

Status TargetListService::start() {
  spawn(Executor_, follow());
  return std::monostate{};
}

bool TargetListService::isReadDue(TimePoint Now) const {
  return !ConfirmedAt_ || IsOutOfSync_ ||
         *ConfirmedAt_ + ReadRotation_.maxSnapshotAge(ReadRank_()) <= Now;
}

/// The number of models and adapters that an entry lists.
static std::size_t listedNames(const RegisteredTarget &Entry) {
  std::size_t Count = Entry.Models_.size();
  for (const auto &[Name, Held] : Entry.Models_)
    Count += Held.Adapters_.size();
  return Count;
}

/// Decodes the list as far as there is memory for it.
static std::vector<RegisteredTarget>
decodeEntries(const std::vector<TableRow> &Rows) {
  std::vector<RegisteredTarget> Entries;
  std::size_t Names = 0;
  for (const TableRow &Row : Rows) {
    auto Entry = platform::decodeRegisteredTarget(Row.Key_, Row.Value_);
    if (!Entry)
      continue;
    Names += listedNames(*Entry);
    if (Names > MaxListedNames) {
      logEvent(LogLevel::Error, "target_list_too_long",
               {{"entries", Entries.size()}, {"rows", Rows.size()}});
      break;
    }
    Entries.push_back(std::move(*Entry));
  }
  return Entries;
}

asio::awaitable<void> TargetListService::follow() {
  while (true) {
    while (!isReadDue(BootClock::now())) {
      reportChanges(Roster_.endLapses(BootClock::now()));
      co_await pauseFor(ReadRotation::CheckPeriod);
    }
    TimePoint RequestedAt = BootClock::now();
    // A difference that is found from here on is not resolved by this reply.
    bool WasOutOfSync = std::exchange(IsOutOfSync_, false);
    auto Page = co_await Store_->list(platform::ExternalTable::Targets);
    if (!isOk(Page)) {
      IsOutOfSync_ |= WasOutOfSync;
      Roster_.recordListOutage();
      co_await pauseFor(
          std::chrono::milliseconds(Settings_.Store_.TargetListPeriodMs_));
      continue;
    }
    // Another VM read the list later and reported it before this reply
    // arrived.
    if (ConfirmedAt_ && *ConfirmedAt_ > RequestedAt)
      continue;
    std::vector<RegisteredTarget> Entries = decodeEntries(valueOf(Page).Rows_);
    TimePoint Now = BootClock::now();
    ConfirmedAt_ = RequestedAt;
    Listing_.replace(Entries, Now);
    applyToRoster(Entries, Now);
    ListRead_.fire(RequestedAt);
  }
}

void TargetListService::applyToRoster(
    const std::vector<RegisteredTarget> &Fresh, TimePoint Now) {
  reportChanges(Roster_.applyList(Listing_.entries(), Now));
  Updated_.fire(Fresh);
}

void TargetListService::reportChanges(
    const std::vector<RosterChange> &Changes) {
  for (const RosterChange &Change : Changes) {
    logEvent(LogLevel::Info, "target_standing",
             {{"target", Change.Id_},
              {"standing", targetUsabilityName(Change.Usability_)},
              {"new_incarnation", Change.NewIncarnation_}});
    Changed_.fire(Change);
  }
}

void TargetListService::applyPeerRead(TimePoint At,
                                      const TargetListUpdate &Update) {
  if (!ConfirmedAt_ || At <= *ConfirmedAt_)
    return;
  TimePoint Now = BootClock::now();
  if (!Listing_.applyChanges(Update.Changes_, Update.Digest_, Now)) {
    IsOutOfSync_ = true;
    return;
  }
  ConfirmedAt_ = At;
  Roster_.extendLapse(Update.LapseRemaining_, Now);
  applyToRoster(Update.Changes_.Entries_, Now);
}

TargetListUpdate TargetListService::recentUpdate(TimePoint Now) const {
  return {Listing_.recentChanges(Now), Listing_.digest(),
          Roster_.lapseRemaining(Now)};
}

} // namespace anvil
