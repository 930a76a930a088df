#include "Entry/PlanService.h"

#include "Entry/RandomFraction.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Kernel/EnumNames.h"
#include "TableService/Backoff.h"
#include "Telemetry/Log.h"
#include "platform/PlanCodec.h"

#include <algorithm>
#include <iterator>
#include <map>

namespace anvil {

namespace asio = boost::asio;

/// Time reserved before the withdrawal bound for a request in transit to a
/// target.
static constexpr Duration WithdrawalMargin = std::chrono::milliseconds(600);

/// How long before its bound a newer configuration is required for every
/// request; covers the time until other VMs hear of it.
static constexpr Duration ApplyMargin = std::chrono::milliseconds(500);

/// How long before its bound a newer version is required for every request.
static constexpr Duration VersionMargin = std::chrono::milliseconds(1800);

/// How long runs on an older version have to end before it is replaced. An
/// engine that waits for them refuses all other orders.
static constexpr Duration VersionDrainTime = std::chrono::milliseconds(2000);

/// How long before its bound requests that still wait at a target with an older
/// version are ended; covers the time until the target notices.
static constexpr Duration VersionEndMargin = std::chrono::milliseconds(600);

/// Retry waits while the store can't be read. They are short, since all time
/// bounds keep running, and spread so that VMs don't retry at the same time.
static constexpr Duration MinRetryWait = std::chrono::milliseconds(100);
static constexpr Duration MaxRetryWait = std::chrono::milliseconds(800);

/// How long after the start of a new era of the store the operator may need to
/// write again what the store has lost.
static constexpr Duration RewriteTime = std::chrono::seconds(5);

/// A wait for changes so short that the store replies at once.
static constexpr Duration ImmediateWait = std::chrono::milliseconds(1);

/// The maximum time between reports of the VM of rank 0: its wait at the store
/// plus the round trip.
static ReadRotationOptions rotationOptions(const EntrySettings &Settings) {
  constexpr Duration Travel = std::chrono::milliseconds(100);
  ReadRotationOptions Options;
  Options.Period_ =
      std::chrono::milliseconds(Settings.Store_.WatchTimeoutMs_) + Travel;
  return Options;
}

PlanService::PlanService(asio::any_io_executor Executor,
                         const EntrySettings &Settings,
                         std::shared_ptr<platform::StoreClient> Store)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Store_(std::move(Store)), ReadRotation_(rotationOptions(Settings)),
      Versions_(std::chrono::milliseconds(Settings.Bounds_.AdapterVersionMs_) -
                    VersionMargin,
                std::chrono::milliseconds(Settings.Bounds_.AdapterVersionMs_) -
                    VersionEndMargin,
                VersionDrainTime) {
  Store_->EraChanged_.attach([this](std::uint64_t) { startEra(); });
}

Status PlanService::start() {
  spawn(Executor_, follow());
  return std::monostate{};
}

bool PlanService::keysAreFresh(TimePoint Now) const {
  Duration Bound =
      std::chrono::milliseconds(Settings_.Bounds_.KeyWithdrawalMs_);
  return ConfirmedAt_ && *ConfirmedAt_ + Bound - WithdrawalMargin > Now;
}

Duration PlanService::applyTime() const {
  Duration Bound = std::chrono::milliseconds(Settings_.Bounds_.ConfigApplyMs_);
  return Bound - std::min(ApplyMargin, Bound / 2);
}

bool PlanService::isTooFarBehind(TimePoint Now) const {
  auto Since = Lag_.behindSince();
  return Since && *Since + applyTime() <= Now;
}

bool PlanService::mayDeny(TimePoint Now) const {
  return ConfirmedAt_ && *ConfirmedAt_ + applyTime() > Now;
}

void PlanService::startEra() {
  ReadVersion_.reset();
  NewestRow_ = 0;
  PeerNewestRow_ = 0;
  Lag_.reset();
  Rows_.forgetVersions();
  // A process that has just started knows no evacuation of an earlier era.
  if (Store_->era().hasSeenEarlier())
    keepEvacuationsUntil(BootClock::now() + RewriteTime);
  StoreClock_ = {};
  IsRevisionShown_ = !Plan_;
}

asio::awaitable<void> PlanService::follow() {
  Backoff RetryWaits(MinRetryWait, MaxRetryWait);
  while (true) {
    endKeptEvacuations();
    while (!isReadDue(BootClock::now())) {
      co_await pauseFor(ReadRotation::CheckPeriod);
      endKeptEvacuations();
    }
    auto Page = co_await readOnce();
    if (isOk(Page)) {
      RetryWaits.reset();
      continue;
    }
    // The store no longer has the history, so read the whole table at once.
    ErrorCode Code = errorOf(Page).Code_;
    if (Code == ErrorCode::HistoryGone || Code == ErrorCode::NotFound) {
      logEvent(LogLevel::Info, "plan_history_gone");
      ReadVersion_.reset();
    }
    co_await pauseFor(RetryWaits.next(randomFraction()));
  }
}

bool PlanService::isReadDue(TimePoint Now) const {
  if (!ReadVersion_ || !ConfirmedAt_ || PeerNewestRow_ > NewestRow_)
    return true;
  // The VM of rank 0 always waits at the store for the next change.
  std::size_t Rank = ReadRank_();
  return Rank == 0 || *ConfirmedAt_ + ReadRotation_.maxSnapshotAge(Rank) <= Now;
}

asio::awaitable<Result<platform::TablePage>> PlanService::readOnce() {
  TimePoint RequestedAt = BootClock::now();
  std::uint64_t PeerNewest = PeerNewestRow_;
  std::uint64_t EraBefore = Store_->era().current();
  bool WasAwaited = ReadVersion_.has_value();
  Result<platform::TablePage> Page = Error{};
  if (WasAwaited) {
    Duration Wait =
        StoreClock_.needsSync(RequestedAt)
            ? ImmediateWait
            : std::chrono::milliseconds(Settings_.Store_.WatchTimeoutMs_);
    Page = co_await Store_->awaitChanges(platform::ExternalTable::Operator,
                                         *ReadVersion_, Wait);
  } else {
    Page = co_await Store_->list(platform::ExternalTable::Operator);
  }
  if (!isOk(Page))
    co_return Page;
  if (Store_->era().current() != EraBefore)
    PeerNewest = 0;
  ReadVersion_ = valueOf(Page).Version_;
  // A row that other VMs have read but the store no longer lists has been
  // deleted since, unless the store's reply is older than their read.
  if (*ReadVersion_ >= PeerNewest)
    NewestRow_ = std::max(NewestRow_, PeerNewest);
  TimePoint ReadAt = StoreClock_.recordCall(
      RequestedAt, valueOf(Page).StoreTime_, BootClock::now());
  std::uint64_t NewestBefore = NewestRow_;
  std::vector<TableRow> Returned = valueOf(Page).Rows_;
  std::vector<TableRow> Before = rowsBefore(Returned);
  std::vector<TableRow> Newer = WasAwaited
                                    ? Rows_.applyChanges(Returned)
                                    : Rows_.applyWhole(Returned, *ReadVersion_);
  // A whole read returns no removed rows, so the other VMs are told of those
  // that it lacks.
  if (!WasAwaited)
    std::ranges::copy_if(Newer, std::back_inserter(Returned),
                         &TableRow::Deleted_);
  // What a new era shows for the first time was written after the last read of
  // the earlier one.
  bool IsContinued = WasAwaited || Store_->era().hasSeenEarlier();
  apply(Newer, IsContinued ? ConfirmedAt_ : std::nullopt,
        {RowSource::OwnRead, ReadAt});
  if (Plan_) {
    if (IsRevisionShown_ && (!ConfirmedAt_ || ReadAt > *ConfirmedAt_))
      confirm(ReadAt);
    TableRead_.fire({ReadAt, NewestRow_, NewestBefore, std::move(Returned),
                     deltasFrom(Before)});
  }
  co_return Page;
}

std::vector<TableRow>
PlanService::rowsBefore(const std::vector<TableRow> &Rows) const {
  std::map<std::string_view, const TableRow *> Known;
  for (const TableRow &Row : Rows)
    if (const TableRow *Found = Rows_.find(Row.Key_);
        Found && !Row.Deleted_ && Row.Version_ > Found->Version_)
      Known[Found->Key_] = Found;
  std::vector<TableRow> Before;
  for (const auto &[Key, Row] : Known)
    Before.push_back(*Row);
  return Before;
}

std::vector<RowDelta>
PlanService::deltasFrom(const std::vector<TableRow> &Before) const {
  std::vector<RowDelta> Deltas;
  for (const TableRow &Row : Before)
    if (const TableRow *Now = Rows_.find(Row.Key_))
      Deltas.push_back(makeRowDelta(Row, *Now));
  return Deltas;
}

void PlanService::applyPeerRead(std::optional<TimePoint> At,
                                std::uint64_t NewestRow) {
  PeerNewestRow_ = std::max(PeerNewestRow_, NewestRow);
  Lag_.recordKnown(NewestRow, At.value_or(BootClock::now()));
  bool IsNewer = At && ConfirmedAt_ && *At > *ConfirmedAt_;
  if (NewestRow <= NewestRow_ && Plan_ && IsRevisionShown_ && IsNewer)
    confirm(*At);
}

void PlanService::confirm(TimePoint At) {
  bool WasFresh = keysAreFresh(At);
  ConfirmedAt_ = At;
  if (!WasFresh)
    logEvent(LogLevel::Info, "plan_evidence_regained",
             {{"revision", Plan_->revision()}});
}

void PlanService::applyPeerRows(const std::vector<TableRow> &Rows,
                                const RowEvidence &Evidence) {
  apply(Rows_.applyChanges(Rows), ConfirmedAt_, Evidence);
}

void PlanService::applyPeerDeltas(const std::vector<RowDelta> &Deltas,
                                  const RowEvidence &Evidence) {
  std::vector<TableRow> Rows;
  for (const RowDelta &Delta : Deltas) {
    const TableRow *Known = Rows_.find(Delta.Key_);
    auto New = Known ? applyRowDelta(*Known, Delta) : std::nullopt;
    if (!New)
      return;
    Rows.push_back(std::move(*New));
  }
  applyPeerRows(Rows, Evidence);
}

void PlanService::apply(const std::vector<TableRow> &Newer,
                        std::optional<TimePoint> NotBefore,
                        const RowEvidence &Evidence) {
  NewestRow_ = std::max(NewestRow_, Rows_.newest());
  // Evacuations apply before the plan, so that no request is sent in between.
  for (const TableRow &Row : Newer)
    if (auto DataCentre = platform::evacuatedDataCentre(Row.Key_))
      applyEvacuation(*DataCentre, !Row.Deleted_, Evidence);
  // Only the newest of several revisions is worth decoding.
  const TableRow *NewestPlan = nullptr;
  for (const TableRow &Row : Newer)
    if (Row.Key_ == "config" && !Row.Deleted_ &&
        (!NewestPlan || Row.Version_ > NewestPlan->Version_))
      NewestPlan = &Row;
  for (const TableRow &Row : Newer) {
    if (Row.Deleted_)
      continue;
    if (&Row == NewestPlan)
      applyPlan(Row, Evidence);
    else if (Row.Key_.starts_with("version/"))
      applyVersion(Row, NotBefore);
  }
  Lag_.recordApplied(NewestRow_);
}

void PlanService::applyEvacuation(const std::string &DataCentre,
                                  bool IsRequested,
                                  const RowEvidence &Evidence) {
  TimePoint Now = BootClock::now();
  auto Since = Evacuations_.evacuatedSince(DataCentre);
  bool IsChange = Evacuations_.set(DataCentre, IsRequested, Now);
  bool IsEvacuated = Evacuations_.isEvacuated(DataCentre);
  std::string_view State = IsEvacuated ? "begins" : "ends";
  if (!IsChange && IsEvacuated)
    State = IsRequested ? "repeated" : "kept";
  else if (!IsChange)
    return;
  logEvent(
      LogLevel::Info, "evacuation",
      {{"data_centre", DataCentre},
       {"state", State},
       {"source", enumName(Evidence.Source_, RowSourceNames)},
       {"evidence_age_ms", Evidence.At_ ? toMillis(Now - *Evidence.At_) : -1},
       {"lasted_ms", Since ? toMillis(Now - *Since) : 0}});
  if (IsChange)
    EvacuationChanged_.fire(DataCentre, IsEvacuated);
}

void PlanService::endKeptEvacuations() {
  TimePoint Now = BootClock::now();
  for (const std::string &DataCentre : Evacuations_.endKept(Now)) {
    logEvent(LogLevel::Info, "evacuation",
             {{"data_centre", DataCentre},
              {"state", "ends"},
              {"source", "kept"},
              {"evidence_age_ms",
               ConfirmedAt_ ? toMillis(Now - *ConfirmedAt_) : -1}});
    EvacuationChanged_.fire(DataCentre, false);
  }
}

void PlanService::applyPlan(const TableRow &Row, const RowEvidence &Evidence) {
  TimePoint DecodedFrom = BootClock::now();
  auto Decoded = platform::decodePlan(Row.Value_);
  if (!isOk(Decoded)) {
    logEvent(LogLevel::Error, "plan_unreadable",
             {{"reason", errorOf(Decoded).describe()}});
    return;
  }
  ServingPlanPtr New = std::move(valueOf(Decoded));
  if (!IsRevisionShown_ && Plan_ && New->revision() >= Plan_->revision()) {
    IsRevisionShown_ = true;
    logEvent(LogLevel::Info, "plan_shown_in_era",
             {{"era", Store_->era().current()},
              {"revision", New->revision()},
              {"known", Plan_->revision()}});
  }
  // A reply that was overtaken by a newer one must not revert the plan.
  if (Plan_ && New->revision() <= Plan_->revision())
    return;
  TimePoint Now = BootClock::now();
  auto BehindSince = Lag_.behindSince();
  Duration Behind = BehindSince ? Now - *BehindSince : Duration::zero();
  logEvent(
      LogLevel::Info, "plan_taken",
      {{"revision", New->revision()},
       {"before", Plan_ ? Plan_->revision() : 0},
       {"routes", New->routes().size()},
       {"customers", New->customers().size()},
       {"source", enumName(Evidence.Source_, RowSourceNames)},
       {"evidence_age_ms", Evidence.At_ ? toMillis(Now - *Evidence.At_) : -1},
       {"behind_ms", toMillis(Behind)},
       {"bytes", Row.Value_.size()},
       {"decode_ms", toMillis(Now - DecodedFrom)}});
  if (Behind > std::chrono::milliseconds(Settings_.Bounds_.ConfigApplyMs_))
    logEvent(LogLevel::Warning, "plan_late",
             {{"revision", New->revision()},
              {"behind_ms", toMillis(Behind)},
              {"bound_ms", Settings_.Bounds_.ConfigApplyMs_}});
  Plan_ = std::move(New);
  Changed_.fire(*Plan_);
}

void PlanService::applyVersion(const TableRow &Row,
                               std::optional<TimePoint> NotBefore) {
  auto Named = platform::decodeNamedVersion(Row.Value_);
  if (!Named)
    return;
  if (!Versions_.recordVersion(Named->Model_, Named->Adapter_, Named->Version_,
                               NotBefore))
    return;
  logEvent(LogLevel::Info, "adapter_version_named",
           {{"model", Named->Model_},
            {"adapter", Named->Adapter_},
            {"version", Named->Version_},
            {"is_new", NotBefore.has_value()}});
  VersionNamed_.fire(Named->Model_, Named->Adapter_);
}

} // namespace anvil
