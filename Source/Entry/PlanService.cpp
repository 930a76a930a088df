#include "Entry/PlanService.h"

#include "Entry/Pause.h"
#include "Http/Spawn.h"
#include "TableService/Backoff.h"
#include "Telemetry/Log.h"
#include "platform/PlanCodec.h"

namespace anvil {

namespace asio = boost::asio;

/// What is kept off the withdrawal bound for a request's own way to a target.
static constexpr Duration WithdrawalMargin = std::chrono::milliseconds(600);

/// How long before its bound a newer version is required of every request.
static constexpr Duration VersionMargin = std::chrono::milliseconds(1800);

/// The waits between tries while the store can't be read; short, since every
/// bound runs meanwhile, and spread so that VMs don't come back together.
static constexpr Duration LeastRetryWait = std::chrono::milliseconds(100);
static constexpr Duration MostRetryWait = std::chrono::milliseconds(800);

PlanService::PlanService(asio::any_io_executor Executor,
                         const EntrySettings &Settings,
                         std::shared_ptr<platform::StoreClient> Store)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Store_(std::move(Store)),
      Versions_(std::chrono::milliseconds(Settings.Bounds_.AdapterVersionMs_) -
                VersionMargin) {}

Status PlanService::start() {
  spawn(Executor_, follow());
  return std::monostate{};
}

bool PlanService::keysAreFresh(TimePoint Now) const {
  Duration Bound =
      std::chrono::milliseconds(Settings_.Bounds_.KeyWithdrawalMs_);
  return Evidence_ && *Evidence_ + Bound - WithdrawalMargin > Now;
}

asio::awaitable<void> PlanService::follow() {
  std::optional<std::uint64_t> Version;
  Backoff Waits(LeastRetryWait, MostRetryWait);
  while (true) {
    TimePoint AskedAt = BootClock::now();
    Result<platform::TablePage> Page = Error{};
    bool WasAwaited = Version.has_value();
    if (Version)
      Page = co_await Store_->awaitChanges(
          platform::ForeignTable::Operator, *Version,
          std::chrono::milliseconds(Settings_.Store_.WatchMs_));
    else
      Page = co_await Store_->list(platform::ForeignTable::Operator);
    if (isOk(Page)) {
      Waits.reset();
      Version = valueOf(Page).Version_;
      TimePoint Now = BootClock::now();
      apply(valueOf(Page).Rows_,
            StoreClock_.note(AskedAt, valueOf(Page).StoreTime_, Now),
            WasAwaited ? Evidence_ : std::nullopt);
      continue;
    }
    // The history is gone, so the whole table is read at once.
    if (errorOf(Page).Code_ == ErrorCode::NotFound) {
      logEvent(LogLevel::Info, "plan_history_gone");
      Version.reset();
    }
    co_await pauseFor(Waits.next(randomPart()));
  }
}

void PlanService::apply(const std::vector<TableRow> &Rows, TimePoint GivenAt,
                        std::optional<TimePoint> NotBefore) {
  for (const TableRow &Row : Rows) {
    if (Row.Key_ == "config")
      applyPlan(Row);
    else if (Row.Key_.starts_with("version/"))
      applyVersion(Row, NotBefore);
  }
  bool WasFresh = keysAreFresh(GivenAt);
  if (Plan_)
    Evidence_ = GivenAt;
  if (!WasFresh && Evidence_)
    logEvent(LogLevel::Info, "plan_evidence_regained",
             {{"revision", Plan_->revision()}});
}

void PlanService::applyPlan(const TableRow &Row) {
  auto Decoded = platform::decodePlan(Row.Value_);
  if (!isOk(Decoded)) {
    logEvent(LogLevel::Error, "plan_unreadable",
             {{"reason", errorOf(Decoded).describe()}});
    return;
  }
  ServingPlanPtr New = std::move(valueOf(Decoded));
  // An answer that was overtaken never takes a plan back.
  if (Plan_ && New->revision() <= Plan_->revision())
    return;
  logEvent(LogLevel::Info, "plan_taken",
           {{"revision", New->revision()},
            {"before", Plan_ ? Plan_->revision() : 0},
            {"routes", New->routes().size()},
            {"customers", New->customers().size()}});
  Plan_ = std::move(New);
  Changed_.fire(*Plan_);
}

void PlanService::applyVersion(const TableRow &Row,
                               std::optional<TimePoint> NotBefore) {
  auto Named = platform::decodeNamedVersion(Row.Value_);
  if (!Named)
    return;
  if (!Versions_.note(Named->Model_, Named->Adapter_, Named->Version_,
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
