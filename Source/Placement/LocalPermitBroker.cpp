#include "Placement/LocalPermitBroker.h"

#include "Placement/EngineClient.h"
#include "Placement/PlacementLookup.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace anvil {

namespace asio = boost::asio;

/// The retry delay after a failed load.
static constexpr Duration LoadRetryAfter = std::chrono::seconds(1);

LocalPermitBroker::Load::Load(const asio::any_io_executor &Executor)
    : Done_(Executor, asio::steady_timer::time_point::max()) {}

LocalPermitBroker::LocalPermitBroker(asio::any_io_executor Executor,
                                     const DaemonSettings &Settings,
                                     std::shared_ptr<TargetDirectory> Directory)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Directory_(std::move(Directory)) {}

void LocalPermitBroker::syncWithReport(Engine &State,
                                       const std::string &TargetName) {
  const TargetReport *Report = Directory_->find(TargetName);
  if (!Report || Report->Incarnation_ == State.Incarnation_)
    return;
  // A new incarnation of the engine starts with the adapters that it reports,
  // or with none.
  State.Incarnation_ = Report->Incarnation_;
  for (auto &[Adapter, Usage] : State.Uses_)
    Usage.Resident_ = Report->Resident_.count(Adapter.text()) > 0;
}

asio::awaitable<void> LocalPermitBroker::makeRoom(const Target &Destination) {
  Engine &State = Engines_[Destination.Name_];
  std::int64_t Count = static_cast<std::int64_t>(State.Loads_.size());
  std::optional<AdapterRef> Oldest;
  for (const auto &[Adapter, Usage] : State.Uses_) {
    Count += Usage.Resident_;
    bool IsIdle = Usage.Resident_ && Usage.Permits_ == 0;
    if (IsIdle && (!Oldest || Usage.LastUsed_ < State.Uses_[*Oldest].LastUsed_))
      Oldest = Adapter;
  }
  if (Count <= Destination.AdapterSlots_ || !Oldest)
    co_return;
  State.Uses_[*Oldest].Resident_ = false;
  EngineClient Client(endpointOf(Destination));
  co_await Client.unload(
      *Oldest, 1, std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_));
}

asio::awaitable<Status>
LocalPermitBroker::ensureResident(const Target &Destination, AdapterRef Adapter,
                                  std::string Weights) {
  Engine &State = Engines_[Destination.Name_];
  syncWithReport(State, Destination.Name_);
  if (State.Uses_[Adapter].Resident_)
    co_return std::monostate{};
  auto Running = State.Loads_.find(Adapter);
  if (Running != State.Loads_.end()) {
    auto Shared = Running->second;
    boost::system::error_code Ignored;
    if (!Shared->Result_)
      co_await Shared->Done_.async_wait(
          asio::redirect_error(asio::use_awaitable, Ignored));
    co_return *Shared->Result_;
  }
  auto Started = std::make_shared<Load>(Executor_);
  State.Loads_[Adapter] = Started;
  co_await makeRoom(Destination);
  EngineClient Client(endpointOf(Destination));
  Status Loaded = co_await Client.load(
      Adapter, std::move(Weights), 1,
      std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_));
  State.Uses_[Adapter].Resident_ = isOk(Loaded);
  State.Loads_.erase(Adapter);
  Started->Result_ = Loaded;
  Started->Done_.cancel();
  co_return Loaded;
}

asio::awaitable<Outcome<Permit>>
LocalPermitBroker::acquire(const RequestContext &Request,
                           std::string TargetName) {
  const Target *Destination =
      Request.Snapshot_->Objects_.find<Target>(TargetName);
  if (!Destination)
    co_return Refusal{RefusalCode::NoTarget, "the target does not exist",
                      Execution::No, LoadRetryAfter};
  Permit Granted;
  Granted.Id_ = NextPermit_++;
  Granted.Target_ = TargetName;
  Granted.Address_ = endpointOf(*Destination);
  Granted.Adapter_ = Request.Adapter_;
  if (Request.Adapter_.empty())
    co_return Granted;
  Use &Usage = Engines_[TargetName].Uses_[Request.Adapter_];
  // Counted before the load, so that the adapter isn't evicted in between.
  ++Usage.Permits_;
  Usage.LastUsed_ = BootClock::now();
  Status Ready =
      co_await ensureResident(*Destination, Request.Adapter_,
                              weightsOf(*Request.Snapshot_, Request.Adapter_));
  Granted.Incarnation_ = Engines_[TargetName].Incarnation_;
  if (isOk(Ready))
    co_return Granted;
  --Usage.Permits_;
  logEvent(LogLevel::Warning, "adapter_load_failed",
           {{"target", TargetName},
            {"adapter", Request.Adapter_.Adapter_},
            {"version", Request.Adapter_.Version_},
            {"problem", errorOf(Ready).describe()}});
  co_return Refusal{RefusalCode::AdapterUnavailable,
                    "the adapter could not be loaded", Execution::No,
                    LoadRetryAfter};
}

void LocalPermitBroker::release(const Permit &Held, PermitOutcome End) {
  if (Held.Adapter_.empty())
    return;
  Use &Usage = Engines_[Held.Target_].Uses_[Held.Adapter_];
  --Usage.Permits_;
  Usage.LastUsed_ = BootClock::now();
  if (End == PermitOutcome::AdapterMissing ||
      End == PermitOutcome::TargetFailed)
    Usage.Resident_ = false;
}

} // namespace anvil
