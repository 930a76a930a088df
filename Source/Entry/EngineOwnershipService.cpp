#include "Entry/EngineOwnershipService.h"

#include "Entry/FleetState.h"
#include "Entry/ReachService.h"
#include "Entry/ReceiveBudgets.h"
#include "Http/Pause.h"
#include "Http/Spawn.h"
#include "Kernel/EnumNames.h"
#include "Telemetry/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>

namespace anvil {

namespace asio = boost::asio;

/// Time limit for an order or a report. Engines reply within milliseconds.
static constexpr Duration ControlTimeout = std::chrono::milliseconds(100);

/// How often an engine's controller checks for work when no event wakes it.
static constexpr Duration ControllerPeriod = std::chrono::milliseconds(250);

/// Maximum age of the state in an engine's report. A report resolves an
/// uncertain view only if it is requested at least this long after the event
/// that made the view uncertain.
static constexpr Duration MaxReportAge = std::chrono::milliseconds(150);

static TargetOwnershipOptions ownershipOptions(const EntrySettings &Settings) {
  TargetOwnershipOptions Options;
  constexpr Duration OrderLatency = std::chrono::milliseconds(300);
  Options.HandoverPause_ =
      std::chrono::milliseconds(Settings.Bounds_.OrderHandoverMs_) +
      OrderLatency;
  return Options;
}

EngineOwnershipService::EngineOwnershipService(asio::any_io_executor Executor,
                                               const EntrySettings &Settings,
                                               std::string Incarnation,
                                               const ServiceRegistry &Services)
    : Executor_(std::move(Executor)), Settings_(Settings),
      Self_(Settings.holderName()), Incarnation_(std::move(Incarnation)),
      Store_(Services.require<platform::StoreClient>(PlatformService::Name)),
      Plans_(Services.require<PlanService>(PlanService::Name)),
      Targets_(Services.require<TargetListService>(TargetListService::Name)),
      Link_(Services.require<FleetLink>(FleetLink::Name)),
      Fleet_(Services.require<FleetState>(FleetState::Name)),
      Reach_(Services.require<ReachService>(ReachService::Name)),
      Metrics_(Services.require<Metrics>(Metrics::Name)),
      Control_(
          ControlTimeout,
          Services.require<ReceiveBudgets>(ReceiveBudgets::Name)->control()),
      Ownership_(Self_, ownershipOptions(Settings), BootClock::now()),
      RoundTimer_(Executor_) {}

Status EngineOwnershipService::start() {
  Store_->EraChanged_.attach([this](std::uint64_t Era) { startEra(Era); });
  Link_->Received_.attach(
      [this](const FleetMessage &Message) { receive(Message); });
  Fleet_->onCollectInventories([this] { return inventories(); });
  Targets_->Updated_.attach([this](const std::vector<RegisteredTarget> &) {
    updateEngines();
    checkOrderCounts();
  });
  Plans_->VersionNamed_.attach(
      [this](const std::string &, const std::string &) {
        for (const auto &[Engine, Owned] : Owned_)
          Owned->Wake_.cancel();
      });
  Plans_->EvacuationChanged_.attach(
      [this](const std::string &, bool) { showEvacuations(); });
  showEvacuations();
  spawn(Executor_, maintainRows());
  return std::monostate{};
}

void EngineOwnershipService::stop() {
  Stopping_ = true;
  for (const auto &[Engine, Owned] : Owned_) {
    Owned->Ended_ = true;
    Owned->Wake_.cancel();
  }
}

std::map<std::string, std::string> EngineOwnershipService::engines() const {
  std::map<std::string, std::string> Found;
  for (const auto &[Id, Listed] : Targets_->roster().all())
    if (Listed.Usability_ != TargetUsability::Unlisted && enginePlanOf(Id))
      Found[Id] = Listed.Entry_.DataCentre_;
  return Found;
}

const EnginePlan *
EngineOwnershipService::enginePlanOf(const std::string &Engine) const {
  const ListedTarget *Listed = Targets_->roster().find(Engine);
  if (!Listed || !Plans_->current())
    return nullptr;
  const ServicePlan *Service =
      Plans_->current()->findService(Listed->Entry_.Service_);
  bool IsEngine = Service && Service->Engine_ &&
                  !Service->Engine_->Models_.empty() &&
                  Service->Engine_->MaxAdapters_ > 0;
  return IsEngine ? &*Service->Engine_ : nullptr;
}

std::shared_ptr<UnansweredOrders> EngineOwnershipService::unansweredOrders(
    const OwnerRow &Row, std::int64_t Incarnation, TimePoint Now) {
  SentOrders &Sent = SentOrders_[Row.Target_];
  if (!Sent.Unanswered_)
    Sent.Unanswered_ = std::make_shared<UnansweredOrders>(
        EngineControllerOptions::LateOrderWindow);
  if (Sent.Fence_ != Row.Fence_ && Ownership_.mayHavePredecessor(Row))
    Sent.Unanswered_->recordPredecessor(Now);
  if (Sent.Incarnation_ != Incarnation)
    Sent.Unanswered_->recordRestart();
  Sent.Fence_ = Row.Fence_;
  Sent.Incarnation_ = Incarnation;
  return Sent.Unanswered_;
}

void EngineOwnershipService::updateEngines() {
  TimePoint Now = BootClock::now();
  std::set<std::string> OwnedIds;
  for (const OwnerRow &Row : Ownership_.owned()) {
    const EnginePlan *Plan = enginePlanOf(Row.Target_);
    const ListedTarget *Listed = Targets_->roster().find(Row.Target_);
    bool IsListed = Plan && Listed->Usability_ != TargetUsability::Unlisted;
    if (!IsListed)
      continue;
    OwnedIds.insert(Row.Target_);
    auto Found = Owned_.find(Row.Target_);
    bool IsCurrent = Found != Owned_.end() &&
                     Found->second->Incarnation_ == Listed->Entry_.Incarnation_;
    if (IsCurrent)
      continue;
    if (Found != Owned_.end()) {
      Found->second->Ended_ = true;
      Found->second->Wake_.cancel();
    }
    EngineControllerOptions Options;
    Options.MaxAdapters_ = Plan->MaxAdapters_;
    Options.WarmAdapters_ = Plan->warmAdapters();
    if (Listed->RestartedAt_)
      Options.ReserveSlotUntil_ =
          *Listed->RestartedAt_ + Options.LateOrderWindow;
    else if (Ownership_.mayHavePredecessor(Row))
      // Restarts before this process started are unknown.
      Options.ReserveSlotUntil_ = StartedAt_ + Options.LateOrderWindow;
    Options.Unanswered_ =
        unansweredOrders(Row, Listed->Entry_.Incarnation_, Now);
    auto Owned = std::make_shared<OwnedEngine>(
        Executor_, EngineController(Plan->Models_.front().Name_, Options));
    Owned->Incarnation_ = Listed->Entry_.Incarnation_;
    Owned_[Row.Target_] = Owned;
    spawn(Executor_, serveEngine(Row.Target_, Owned));
  }
  std::erase_if(Owned_, [&](const auto &Entry) {
    if (OwnedIds.contains(Entry.first))
      return false;
    Entry.second->Ended_ = true;
    Entry.second->Wake_.cancel();
    return true;
  });
  std::erase_if(SentOrders_, [&](const auto &Entry) {
    return !OwnedIds.contains(Entry.first) &&
           Entry.second.Unanswered_->count(Now) == 0;
  });
}

bool EngineOwnershipService::isEvacuated(const std::string &Engine) const {
  const ListedTarget *Listed = Targets_->roster().find(Engine);
  return Listed &&
         Plans_->evacuations().isEvacuated(Listed->Entry_.DataCentre_);
}

void EngineOwnershipService::showEvacuations() {
  Metrics_->gauge(
      "anvil_evacuated_data_centres", {},
      static_cast<double>(Plans_->evacuations().evacuated().size()));
  // Engines of a data centre that is taken back may have work waiting.
  for (const auto &[Engine, Owned] : Owned_)
    Owned->Wake_.cancel();
}

void EngineOwnershipService::checkOrderCounts() {
  for (const auto &[Engine, Owned] : Owned_) {
    const ListedTarget *Listed = Targets_->roster().find(Engine);
    // The engine accepted more orders than this VM knows of, so one was
    // executed late.
    if (Listed &&
        Listed->Entry_.OrdersAccepted_ > Owned->Controller_.ordersAccepted())
      Owned->Controller_.requireReport();
  }
}

asio::awaitable<void>
EngineOwnershipService::serveEngine(std::string Engine,
                                    std::shared_ptr<OwnedEngine> Owned) {
  while (!Owned->Ended_) {
    TimePoint Now = BootClock::now();
    auto Fence = Ownership_.orderingFence(Engine, Now);
    if (Fence && !isEvacuated(Engine)) {
      if (Owned->Controller_.needsReport()) {
        co_await fetchReport(Engine, Owned);
        continue;
      }
      for (const auto &[Adapter, Count] : Fleet_->ownShareOn(Engine).Adapters_)
        Owned->Controller_.recordUse(Adapter, Now);
      Owned->Controller_.setLoadTimes(Fleet_->loadTimes(), LoadsOrdered_, Now);
      Owned->Controller_.applyVersions(Plans_->versions());
      if (auto Order = Owned->Controller_.nextOrder(
              transitFactor(Fleet_->storeQueue(Now)), Now)) {
        co_await sendOrder(Engine, Owned, *Order, *Fence);
        continue;
      }
    }
    Owned->Wake_.expires_after(ControllerPeriod);
    boost::system::error_code Ignored;
    co_await Owned->Wake_.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
}

/// The address of a listed target; nothing if the target isn't listed or its
/// address doesn't parse.
static std::optional<platform::EngineAddress>
addressOf(const TargetRoster &Roster, const std::string &Engine) {
  const ListedTarget *Listed = Roster.find(Engine);
  if (!Listed)
    return std::nullopt;
  auto Address = parseEndpoint(Listed->Entry_.Address_);
  if (!isOk(Address))
    return std::nullopt;
  return platform::EngineAddress{Engine, valueOf(Address)};
}

asio::awaitable<void> EngineOwnershipService::sendOrder(
    const std::string &Engine, std::shared_ptr<OwnedEngine> Owned,
    const EngineOrder &Order, std::uint64_t Fence) {
  auto Address = addressOf(Targets_->roster(), Engine);
  OrderResult Result = OrderResult::WrongTarget;
  if (Address)
    Result = co_await Control_.order(*Address, Order, Self_, Fence);
  Owned->Controller_.recordOrderResult(Result, BootClock::now());
  Metrics_->count("anvil_engine_orders_total",
                  {{"order", std::string(orderKindName(Order.Kind_))},
                   {"outcome", std::string(orderResultName(Result))}});
  bool IsAccepted =
      Result == OrderResult::Accepted || Result == OrderResult::AlreadyHolds;
  bool IsLoad = Order.Kind_ == OrderKind::LoadAdapter;
  LoadsOrdered_ += IsLoad && Result == OrderResult::Accepted ? 1 : 0;
  logEvent(
      IsAccepted ? LogLevel::Debug : LogLevel::Warning, "engine_order",
      {{"target", Engine},
       {"order", orderKindName(Order.Kind_)},
       {"adapter", Order.Adapter_},
       {"version", Order.Version_},
       {"expected_orders", Order.ExpectedOrders_},
       {"held", Owned->Controller_.heldAdapters().size()},
       {"unanswered", Owned->Controller_.unansweredOrders(BootClock::now())},
       {"replacing", Owned->Controller_.adapterBeingReplaced()},
       {"fence", Fence},
       {"outcome", orderResultName(Result)}});
  broadcastInventory(Engine);
  if (!IsAccepted && Result != OrderResult::Unknown)
    co_await pauseFor(MaxReportAge);
}

asio::awaitable<void>
EngineOwnershipService::fetchReport(const std::string &Engine,
                                    std::shared_ptr<OwnedEngine> Owned) {
  auto Address = addressOf(Targets_->roster(), Engine);
  Result<EngineReport> Report =
      Error{ErrorCode::NotFound, Engine, "has no address", ""};
  if (Address)
    Report = co_await Control_.report(*Address);
  if (!isOk(Report)) {
    logEvent(LogLevel::Warning, "engine_report_failed",
             {{"target", Engine}, {"reason", errorOf(Report).describe()}});
    co_await pauseFor(ControllerPeriod);
    co_return;
  }
  if (!adoptReport(Engine, *Owned, valueOf(Report))) {
    co_await pauseFor(MaxReportAge);
    co_return;
  }
  broadcastInventory(Engine);
  if (Owned->Controller_.needsReport())
    co_await pauseFor(ControllerPeriod);
}

bool EngineOwnershipService::adoptReport(const std::string &Engine,
                                         OwnedEngine &Owned,
                                         const EngineReport &Report) {
  // The list names a restarted engine only some time after it answers.
  if (Report.Incarnation_.value_or(Owned.Incarnation_) != Owned.Incarnation_) {
    logEvent(LogLevel::Info, "engine_report_of_other_incarnation",
             {{"target", Engine},
              {"known", Owned.Incarnation_},
              {"reported", *Report.Incarnation_}});
    return false;
  }
  TimePoint Now = BootClock::now();
  EngineController &Controller = Owned.Controller_;
  std::uint64_t Counted = Controller.ordersAccepted();
  bool IsAdopted = Controller.adopt(Report, Now);
  if (Report.OrdersAccepted_ < Counted)
    logEvent(IsAdopted ? LogLevel::Info : LogLevel::Debug,
             "engine_report_older",
             {{"target", Engine},
              {"counted_orders", Counted},
              {"reported_orders", Report.OrdersAccepted_},
              {"unanswered", Controller.unansweredOrders(Now)},
              {"held", Controller.heldAdapters().size()},
              {"adopted", IsAdopted}});
  return IsAdopted;
}

std::map<std::string, EngineInventory>
EngineOwnershipService::inventories() const {
  std::map<std::string, EngineInventory> All;
  TimePoint Now = BootClock::now();
  for (const auto &[Engine, Owned] : Owned_)
    if (auto Inventory = inventoryOf(Engine, Now))
      All.emplace(Engine, std::move(*Inventory));
  return All;
}

std::optional<EngineInventory>
EngineOwnershipService::inventoryOf(const std::string &Engine,
                                    TimePoint Now) const {
  auto Found = Owned_.find(Engine);
  if (Found == Owned_.end() || Found->second->Controller_.needsReport() ||
      !Ownership_.orderingFence(Engine, Now))
    return std::nullopt;
  const EngineController &Controller = Found->second->Controller_;
  EngineInventory Inventory{Found->second->Incarnation_,
                            Controller.hasModel(),
                            {},
                            Fleet_->inventoryPeriod(),
                            Self_,
                            {}};
  for (const auto &[Adapter, Slot] : Controller.heldAdapters()) {
    bool IsLoading = Slot.ReadyAt_ > Now;
    Duration LoadingFor =
        IsLoading && Slot.OrderedAt_ ? Now - *Slot.OrderedAt_ : Duration{};
    Inventory.Adapters_[Adapter] = {
        Slot.Version_,
        std::max<Duration>(Duration::zero(), Slot.ReadyAt_ - Now), LoadingFor,
        Slot.Source_};
  }
  Inventory.Queued_ = Controller.queuedLoads(Fleet_->storeQueue(Now), Now);
  return Inventory;
}

void EngineOwnershipService::broadcastInventory(const std::string &Engine) {
  TimePoint Now = BootClock::now();
  auto Inventory = inventoryOf(Engine, Now);
  if (!Inventory)
    return;
  Fleet_->view().applyInventory(Engine, *Inventory, Now);
  Link_->sendToAll(InventoryNotice{Engine, *Inventory});
}

void EngineOwnershipService::requestAdapter(const std::string &Engine,
                                            const std::string &Adapter,
                                            std::uint64_t Version,
                                            const LoadDemand &Demand) {
  sendToOwner({Self_, Engine, Adapter, Version, false}, Demand);
}

void EngineOwnershipService::reportMissing(const std::string &Engine,
                                           const std::string &Adapter,
                                           std::uint64_t Version,
                                           const LoadDemand &Demand) {
  sendToOwner({Self_, Engine, Adapter, Version, true}, Demand);
}

std::string EngineOwnershipService::ownerOf(const std::string &Engine) const {
  // The owner's own report is newer than the rows.
  const EngineView *View = Fleet_->view().engine(Engine);
  TimePoint Now = BootClock::now();
  bool IsOwnerReported = View && View->OwnedUntil_ > Now;
  return IsOwnerReported ? View->Owner_ : Ownership_.ownerOf(Engine, Now);
}

void EngineOwnershipService::sendToOwner(AdapterRequest Request,
                                         const LoadDemand &Demand) {
  Request.Rank_ = Demand.Rank_;
  Request.Waiting_ = Demand.Waiting_;
  if (Demand.Waiting_ > 0)
    Request.AimIn_ = Demand.AimAt_ - BootClock::now();
  std::string Owner = ownerOf(Request.Engine_);
  if (Owner == Self_)
    receiveRequest(Request);
  else
    Link_->send(Owner, Request);
}

void EngineOwnershipService::recordUses(const RunningShares &Running) {
  TimePoint Now = BootClock::now();
  for (const auto &[Engine, Owned] : Owned_) {
    auto Share = Running.find(Engine);
    if (Share == Running.end())
      continue;
    for (const auto &[Adapter, Count] : Share->second.Adapters_)
      Owned->Controller_.recordUse(Adapter, Now);
  }
}

void EngineOwnershipService::receive(const FleetMessage &Message) {
  if (const auto *Update = std::get_if<VmStateUpdate>(&Message)) {
    Store_->recordPeerEra(Update->StoreEra_);
    recordUses(Update->Running_);
  } else if (const auto *Summary = std::get_if<DataCentreSummary>(&Message))
    recordUses(Summary->Running_);
  else if (const auto *Request = std::get_if<AdapterRequest>(&Message))
    receiveRequest(*Request);
}

void EngineOwnershipService::receiveRequest(const AdapterRequest &Request) {
  auto Found = Owned_.find(Request.Engine_);
  if (Found == Owned_.end())
    return;
  EngineController &Controller = Found->second->Controller_;
  if (Request.WasMissing_)
    Controller.requireReport();
  // The adapter may no longer be wanted once the data centre is taken back.
  if (isEvacuated(Request.Engine_))
    return;
  TimePoint Now = BootClock::now();
  LoadDemand Demand;
  if (Request.Waiting_ > 0)
    Demand = {Request.Rank_, Now + Request.AimIn_, Request.Waiting_};
  auto ReadyAt = Controller.requestAdapter(Request.Adapter_, Request.Version_,
                                           Now, Demand, Request.Vm_);
  if (ReadyAt && !Request.WasMissing_) {
    broadcastInventory(Request.Engine_);
    return;
  }
  // A request that was repeated before its load could be ordered is queued; the
  // other VM then waits for it rather than requesting the load elsewhere.
  std::optional<EngineInventory> Inventory;
  if (Controller.isRepeatedRequest(Request.Adapter_, Now))
    Inventory = inventoryOf(Request.Engine_, Now);
  if (Inventory) {
    Fleet_->view().applyInventory(Request.Engine_, *Inventory, Now);
    if (Request.Vm_ != Self_)
      Link_->send(Request.Vm_, InventoryNotice{Request.Engine_, *Inventory});
  }
  Found->second->Wake_.cancel();
}

} // namespace anvil
