#include "Entry/StreamVersionService.h"

#include "Entry/RandomFraction.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Kernel/EnumNames.h"
#include "Membership/Rendezvous.h"
#include "Streams/StreamRows.h"
#include "Telemetry/Log.h"

#include <algorithm>
#include <set>

namespace anvil {

namespace asio = boost::asio;

/// How often the baselines are read, and until all are known.
static constexpr Duration BaselinePeriod = std::chrono::seconds(10);
static constexpr Duration StartPeriod = std::chrono::milliseconds(500);

/// The fractions of the store's calls that records and lookups may use.
static constexpr double WriteFraction = 0.25;
static constexpr double ReadFraction = 0.1;

/// The limits of a write's timeout. A write whose answer was lost is repeated
/// soon, as the first events of streams wait for it.
static constexpr Duration MinWriteTimeout = std::chrono::milliseconds(150);
static constexpr int TimeoutGrowth = 3;

/// The pause after a write or read that failed.
static constexpr Duration FailurePause = std::chrono::milliseconds(100);

/// For how long after a failed write no stream that needs a record is begun.
static constexpr Duration WriteOutageTime = std::chrono::seconds(1);

/// For how long the store keeps its history at least; after that all rows are
/// read again.
static constexpr Duration HistoryTime = std::chrono::seconds(8);

/// For how long after a restore a stream that begins may have a record that is
/// lost, since its request was sent before.
static constexpr Duration RepeatTime = std::chrono::seconds(30);

/// Rows of other VMs are removed this long after they expired, at a random
/// time, in case their writers are gone.
static constexpr Duration MaxRemovalDelay = std::chrono::seconds(60);

/// The number of rows that one call removes.
static constexpr std::size_t MaxRemovals = 90;

StreamVersionService::StreamVersionService(asio::any_io_executor Executor,
                                           const EntrySettings &Settings,
                                           std::string Incarnation,
                                           const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Part_(recordPart(stableHash(Settings.holderName()) % RecordParts)),
      RowPrefix_(
          recordRowPrefix(Part_, Settings.holderName() + "/" + Incarnation)),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      MainStore_(
          Services.require<platform::StoreClient>(PlatformService::Name)),
      // The settings were checked, so the address parses.
      Store_(std::get<Endpoint>(parseEndpoint(Settings.Store_.Address_)),
             std::chrono::milliseconds(Settings.Store_.TimeoutMs_), Metrics_),
      Copies_(Executor_, Settings.holderName(),
              Services.require<FleetLink>(FleetLink::Name), Fleet_),
      WriteTimeout_(MinWriteTimeout) {}

Status StreamVersionService::start() {
  Store_.EraChanged_.attach([this](std::uint64_t Era) { beginEra(Era); });
  MainStore_->EraChanged_.attach(
      [this](std::uint64_t Era) { Store_.recordPeerEra(Era); });
  Targets_->Updated_.attach([this](const std::vector<RegisteredTarget> &Fresh) {
    recordListed(Fresh);
  });
  Copies_.start();
  spawn(Executor_, maintainBaselines());
  spawn(Executor_, writeRecords());
  return std::monostate{};
}

bool StreamVersionService::isFirstSystemStart() const {
  return Settings_.Bootstrap_ && !Store_.era().hasSeenEarlier();
}

void StreamVersionService::beginEra(std::uint64_t Era) {
  TimePoint Now = BootClock::now();
  recordRoster();
  Baselines_.beginEra(Now);
  FeedVersion_.reset();
  RefreshedAt_.reset();
  if (Store_.era().hasSeenEarlier()) {
    RestoreSeenAt_ = Now;
    Batcher_.dropUnawaited();
    std::vector<StreamRecord> Own = Own_.known(Now);
    std::vector<StreamRecord> Copies = Copies_.known(Now);
    logEvent(
        LogLevel::Info, "stream_records_repeated",
        {{"era", Era}, {"records", Own.size()}, {"copies", Copies.size()}});
    for (auto *Known : {&Own, &Copies})
      for (StreamRecord &Record : *Known)
        Batcher_.addUnawaited(std::move(Record));
    RecordAdded_.notify();
  }
  EraBegan_.notify();
  MainStore_->recordPeerEra(Era);
}

void StreamVersionService::recordListed(
    const std::vector<RegisteredTarget> &Fresh) {
  TimePoint Now = BootClock::now();
  Baselines_.listed().recordRead(Now, isFirstSystemStart());
  for (const RegisteredTarget &Entry : Fresh)
    Baselines_.listed().record(Entry.Service_, Entry.SoftwareVersion_, Now);
}

void StreamVersionService::recordRoster() {
  for (const auto &[Id, Listed] : Targets_->roster().all())
    Baselines_.listed().record(Listed.Entry_.Service_,
                               Listed.Entry_.SoftwareVersion_, Listed.SeenAt_);
}

void StreamVersionService::remember(const StreamRecord &Record, TimePoint Now) {
  Own_.add(Record, Now);
  Copies_.send(Record);
  if (!RestoreSeenAt_ || Now >= *RestoreSeenAt_ + RepeatTime)
    return;
  Batcher_.addUnawaited(Record);
  RecordAdded_.notify();
}

Duration StreamVersionService::intervalFor(double CallsPerSecond,
                                           double Fraction) const {
  double Seconds =
      static_cast<double>(Fleet_->knownVms()) / (CallsPerSecond * Fraction);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

bool StreamVersionService::mayRecord(TimePoint Now) const {
  return !WriteFailedAt_ || Now >= *WriteFailedAt_ + WriteOutageTime;
}

RecordTicket StreamVersionService::record(StreamRecord Record) {
  RecordTicket Ticket = Batcher_.add(std::move(Record));
  RecordAdded_.notify();
  return Ticket;
}

asio::awaitable<bool> StreamVersionService::awaitRecord(RecordTicket Ticket,
                                                        TimePoint Until) {
  while (!Batcher_.isWritten(Ticket)) {
    if (BootClock::now() >= Until)
      co_return false;
    co_await RecordWritten_.waitUntil(Until);
  }
  co_return true;
}

asio::awaitable<void> StreamVersionService::writeRecords() {
  while (true) {
    TimePoint Now = BootClock::now();
    auto DueAt = Batcher_.dueAt();
    if (!DueAt || *DueAt > Now) {
      co_await RecordAdded_.waitUntil(DueAt.value_or(Now + BaselinePeriod));
      // A record that was added doesn't shorten the interval.
      continue;
    }
    Batcher_.setInterval(
        intervalFor(Settings_.Store_.WritesPerSecond_, WriteFraction));
    auto Records = Batcher_.begin(Now);
    Duration KeepFor{};
    for (const StreamRecord &Record : Records)
      KeepFor = std::max(KeepFor, Record.KeepFor_);
    TableTransaction Change;
    std::string Key = RowPrefix_ + std::to_string(NextRow_);
    Change.Writes_.push_back({Key, encodeStreamRecords(Records)});
    appendExpiredRows(Change, Now);
    CommitOutcome Outcome =
        co_await Store_.commitStreams(Part_, std::move(Change), WriteTimeout_);
    Duration Took = BootClock::now() - Now;
    Duration Longest = std::chrono::milliseconds(Settings_.Store_.TimeoutMs_);
    Metrics_->count("anvil_stream_record_rows_total",
                    {{"outcome", std::string(enumName(Outcome.Result_,
                                                      CommitResultNames))}});
    if (Outcome.Result_ == CommitResult::Committed) {
      if (WriteFailedAt_)
        logEvent(LogLevel::Info, "stream_records_regained",
                 {{"records", Records.size()}});
      WriteFailedAt_.reset();
      WriteTimeout_ = std::clamp(TimeoutGrowth * Took,
                                 std::min(MinWriteTimeout, Longest), Longest);
      Metrics_->observe("anvil_stream_record_seconds", {}, Took);
      Batcher_.confirm();
      ++NextRow_;
      OwnRows_.push_back({std::move(Key), BootClock::now() + KeepFor});
      RecordWritten_.notify();
      continue;
    }
    if (!WriteFailedAt_)
      logEvent(LogLevel::Warning, "stream_records_delayed",
               {{"records", Batcher_.pending()},
                {"outcome", enumName(Outcome.Result_, CommitResultNames)},
                {"reason", Outcome.Detail_},
                {"took_ms", toMillis(Took)}});
    // One lost answer is no outage.
    bool IsOutage = Outcome.Result_ == CommitResult::Unavailable ||
                    WriteTimeout_ == Longest;
    if (IsOutage)
      WriteFailedAt_ = BootClock::now();
    WriteTimeout_ = std::min(TimeoutGrowth * WriteTimeout_, Longest);
    Batcher_.retry();
    if (IsOutage)
      co_await pauseFor(FailurePause);
  }
}

void StreamVersionService::appendExpiredRows(TableTransaction &Change,
                                             TimePoint Now) {
  while (!OwnRows_.empty() && OwnRows_.front().Until_ < Now &&
         Change.Writes_.size() < MaxRemovals) {
    Change.Writes_.push_back({OwnRows_.front().Key_, std::nullopt});
    OwnRows_.pop_front();
  }
}

asio::awaitable<void> StreamVersionService::maintainBaselines() {
  bool IsFirst = true;
  while (true) {
    bool IsSettled = co_await readBaselines() && co_await changeBaselines();
    if (IsFirst && IsSettled) {
      // Rows of this VM's earlier life are removed when they have expired.
      co_await refresh();
      IsFirst = false;
    }
    co_await removeExpiredRows();
    Duration Period = IsSettled ? BaselinePeriod : StartPeriod;
    co_await EraBegan_.waitUntil(BootClock::now() +
                                 std::chrono::duration_cast<Duration>(
                                     Period * (0.8 + 0.2 * randomFraction())));
  }
}

asio::awaitable<bool> StreamVersionService::readBaselines() {
  TimePoint SentAt = BootClock::now();
  auto Page = co_await Store_.listStreams(std::string(BaselinePart));
  if (!isOk(Page))
    co_return false;
  applyRows(valueOf(Page).Rows_, true, SentAt);
  co_return true;
}

asio::awaitable<bool> StreamVersionService::changeBaselines() {
  ServingPlanPtr Plan = Plans_->current();
  if (!Plan || !Targets_->roster().age(BootClock::now()))
    co_return false;
  std::set<std::string> Services;
  for (const RoutePlan &Route : Plan->routes())
    if (Route.Resumable_)
      for (const RouteSplit &Split : Route.Splits_)
        Services.insert(Split.Service_);
  recordRoster();
  bool IsSettled = true;
  for (const std::string &Service : Services) {
    std::map<std::string, std::size_t> Usable;
    for (const ListedTarget *Target : Targets_->roster().usable(Service))
      ++Usable[Target->Entry_.SoftwareVersion_];
    std::uint64_t Era = Store_.era().current();
    auto Changed = Baselines_.dueChange(Service, Usable, isFirstSystemStart(),
                                        BootClock::now());
    if (!Changed) {
      IsSettled = IsSettled && Baselines_.isKnown(Service);
      continue;
    }
    std::string Key = baselineRowKey(Service, Era);
    TableTransaction Change;
    Change.Checks_.push_back({Key, Changed->RowVersion_});
    Change.Writes_.push_back({Key, encodeBaseline(*Changed)});
    CommitOutcome Outcome = co_await Store_.commitStreams(
        std::string(BaselinePart), std::move(Change),
        std::chrono::milliseconds(Settings_.Store_.TimeoutMs_));
    logEvent(LogLevel::Info, "stream_baseline",
             {{"service", Service},
              {"version", Changed->Version_.value_or("")},
              {"stage", enumName(Changed->Stage_, BaselineStageNames)},
              {"row", Changed->RowVersion_},
              {"usable_versions", Usable.size()},
              {"outcome", enumName(Outcome.Result_, CommitResultNames)}});
    co_await readBaselines();
    IsSettled = IsSettled && Baselines_.isKnown(Service);
  }
  co_return IsSettled;
}

void StreamVersionService::applyRows(const std::vector<TableRow> &Rows,
                                     bool HasBaselines, TimePoint SentAt) {
  TimePoint Now = BootClock::now();
  std::vector<StreamBaseline> Found;
  for (const TableRow &Row : Rows) {
    if (!partOfRecordRow(Row.Key_)) {
      auto Baseline = decodeBaseline(Row.Key_, Row.Value_, Row.Version_,
                                     Store_.era().current());
      if (Baseline)
        Found.push_back(std::move(*Baseline));
      continue;
    }
    if (Row.Deleted_) {
      OtherRows_.erase(Row.Key_);
      continue;
    }
    auto Records = decodeStreamRecords(Row.Value_);
    for (const StreamRecord &Record : Records)
      Read_.add(Record, Now);
    if (!Row.Key_.starts_with(RowPrefix_))
      OtherRows_.try_emplace(
          Row.Key_,
          Now + (Records.empty() ? Duration() : Records.front().KeepFor_) +
              std::chrono::duration_cast<Duration>(MaxRemovalDelay *
                                                   randomFraction()));
  }
  if (HasBaselines)
    Baselines_.applyRows(Found, SentAt, Now);
}

asio::awaitable<bool> StreamVersionService::readAllParts(TimePoint SentAt) {
  struct Progress {
    std::size_t Pending_ = 0;
    bool AllRead_ = true;
    std::optional<std::uint64_t> Version_;
    WaitList Done_;
  };
  auto Reads = std::make_shared<Progress>();
  std::vector<std::string> Parts{std::string(BaselinePart)};
  for (std::size_t Index = 0; Index < RecordParts; ++Index)
    Parts.push_back(recordPart(Index));
  Reads->Pending_ = Parts.size();
  auto ReadPart = [](StreamVersionService *Self, std::shared_ptr<Progress> All,
                     std::string Part,
                     TimePoint Sent) -> asio::awaitable<void> {
    bool HasBaselines = Part == BaselinePart;
    auto Page = co_await Self->Store_.listStreams(std::move(Part));
    All->AllRead_ = All->AllRead_ && isOk(Page);
    if (isOk(Page)) {
      std::uint64_t Version = valueOf(Page).Version_;
      All->Version_ = std::min(All->Version_.value_or(Version), Version);
      Self->applyRows(valueOf(Page).Rows_, HasBaselines, Sent);
    }
    --All->Pending_;
    All->Done_.notify();
  };
  for (const std::string &Part : Parts)
    spawn(Executor_, ReadPart(this, Reads, Part, SentAt));
  while (Reads->Pending_ > 0)
    co_await Reads->Done_.waitUntil(BootClock::now() + BaselinePeriod);
  if (Reads->AllRead_) {
    FeedVersion_ = Reads->Version_;
    FeedReadAt_ = SentAt;
  }
  co_return Reads->AllRead_;
}

asio::awaitable<Status> StreamVersionService::readChanges(TimePoint SentAt) {
  if (!FeedVersion_ || SentAt >= FeedReadAt_ + HistoryTime)
    co_return Error{ErrorCode::HistoryGone, "streams", "were read too long ago",
                    ""};
  auto Page = co_await Store_.streamChanges(*FeedVersion_);
  if (!isOk(Page))
    co_return errorOf(Page);
  applyRows(valueOf(Page).Rows_, true, SentAt);
  FeedVersion_ = valueOf(Page).Version_;
  FeedReadAt_ = SentAt;
  co_return std::monostate{};
}

asio::awaitable<bool> StreamVersionService::refresh() {
  TimePoint SentAt = BootClock::now();
  std::uint64_t Era = Store_.era().current();
  Status Read = co_await readChanges(SentAt);
  bool IsRead = isOk(Read);
  if (!IsRead && errorOf(Read).Code_ == ErrorCode::HistoryGone)
    IsRead = co_await readAllParts(SentAt);
  IsRead = IsRead && Store_.era().current() == Era;
  if (IsRead)
    RefreshedAt_ = SentAt;
  co_return IsRead;
}

asio::awaitable<void> StreamVersionService::refreshWhileNeeded() {
  while (!Refreshed_.empty()) {
    TimePoint Now = BootClock::now();
    if (Now < NextRefreshAt_)
      co_await pauseFor(NextRefreshAt_ - Now);
    NextRefreshAt_ =
        BootClock::now() +
        intervalFor(Settings_.Store_.ReadsPerSecond_, ReadFraction);
    bool IsRead = co_await refresh();
    Metrics_->count("anvil_stream_refreshes_total",
                    {{"outcome", IsRead ? "read" : "failed"}});
    Refreshed_.notify();
    // The coroutines that waited look at the result before the next round.
    co_await pauseFor(IsRead ? Duration::zero() : FailurePause);
  }
  IsRefreshing_ = false;
}

asio::awaitable<bool> StreamVersionService::refreshedSince(TimePoint At,
                                                           TimePoint Until) {
  while (!RefreshedAt_ || *RefreshedAt_ < At) {
    if (BootClock::now() >= Until)
      co_return false;
    if (!std::exchange(IsRefreshing_, true))
      spawn(Executor_, refreshWhileNeeded());
    co_await Refreshed_.waitUntil(Until);
  }
  co_return true;
}

asio::awaitable<OriginLookup> StreamVersionService::lookUp(StreamKey Key,
                                                           std::string Service,
                                                           TimePoint Until) {
  TimePoint AskedAt = BootClock::now();
  OriginLookup Result;
  auto Remembered = Own_.find(Key, AskedAt);
  if (Remembered.Evidence_ == StreamEvidence::Known) {
    Result = {OriginSource::Memory, Remembered.Origin_};
  } else if (co_await refreshedSince(AskedAt, Until)) {
    auto Found = Read_.find(Key, BootClock::now());
    auto Baseline = Baselines_.versionOf(Service);
    if (Found.Evidence_ == StreamEvidence::Known)
      Result = {OriginSource::Record, Found.Origin_};
    else if (Found.Evidence_ == StreamEvidence::Conflicting)
      Result.Source_ = OriginSource::Conflict;
    else if (Baseline)
      Result = {OriginSource::Baseline, StreamOrigin{Service, *Baseline}};
    else
      Result.Source_ = OriginSource::NoBaseline;
  }
  Metrics_->count(
      "anvil_stream_lookups_total",
      {{"source", std::string(enumName(Result.Source_, OriginSourceNames))}});
  Metrics_->observe("anvil_stream_lookup_seconds", {},
                    BootClock::now() - AskedAt);
  co_return Result;
}

asio::awaitable<void> StreamVersionService::removeExpiredRows() {
  TimePoint Now = BootClock::now();
  std::map<std::string, TableTransaction> Changes;
  if (Batcher_.pending() == 0)
    appendExpiredRows(Changes[Part_], Now);
  bool AnyOther = std::ranges::any_of(
      OtherRows_, [&](const auto &Row) { return Row.second < Now; });
  // Another VM may have removed them.
  if (AnyOther && co_await refresh())
    for (auto Row = OtherRows_.begin(); Row != OtherRows_.end();) {
      auto Part = partOfRecordRow(Row->first);
      bool IsExpired = Row->second < Now && Part &&
                       Changes[*Part].Writes_.size() < MaxRemovals;
      if (IsExpired)
        Changes[*Part].Writes_.push_back({Row->first, std::nullopt});
      Row = IsExpired ? OtherRows_.erase(Row) : std::next(Row);
    }
  for (auto &[Part, Change] : Changes)
    if (!Change.Writes_.empty())
      co_await Store_.commitStreams(
          Part, std::move(Change),
          std::chrono::milliseconds(Settings_.Store_.TimeoutMs_));
}

} // namespace anvil
