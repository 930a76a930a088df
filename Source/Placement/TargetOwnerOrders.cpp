#include "Placement/TargetOwnerService.h"

#include "Http/Spawn.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// The number of brief reports between two full ones.
static constexpr int BriefReportsPerFull = 10;

/// The delay after a refusal before the weight store's budget is requested
/// again.
static constexpr Duration StoreRetryInterval = std::chrono::milliseconds(100);

TargetOwnerService::OwnedPtr
TargetOwnerService::nextLoadTarget(TimePoint Now) const {
  OwnedPtr Best;
  std::optional<LoadCandidate> BestCandidate;
  for (const auto &[TargetName, Entry] : Owned_) {
    bool IsReady = Entry->Fenced_ && mayOrder(*Entry);
    auto Candidate = IsReady ? Entry->Owner_.nextLoad(Now) : std::nullopt;
    if (!Candidate || (BestCandidate && !Candidate->precedes(*BestCandidate)))
      continue;
    Best = Entry;
    BestCandidate = std::move(Candidate);
  }
  return Best;
}

asio::awaitable<void> TargetOwnerService::fence(OwnedPtr Entry) {
  if (Entry->Fenced_ || std::exchange(Entry->Fencing_, true))
    co_return;
  // An unload order for no adapter changes nothing but makes the engine record
  // the new fencing token, so that it refuses orders of earlier owners that are
  // still in flight.
  AdapterRef NoAdapter;
  Status OrderStatus =
      Error{ErrorCode::Refused, Entry->Name_, "lease lost", ""};
  if (mayOrder(*Entry))
    OrderStatus = co_await Entry->Client_.unload(
        NoAdapter, Ownership_->lease().fencingToken(),
        std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_));
  Entry->Fencing_ = false;
  Entry->Fenced_ =
      isOk(OrderStatus) || errorOf(OrderStatus).Code_ == ErrorCode::NotFound;
  drive(Entry);
}

asio::awaitable<void> TargetOwnerService::startLoads() {
  while (nextLoadTarget(BootClock::now())) {
    std::string LoadName = Settings_.Vm_ + "/" + std::to_string(NextLoad_++);
    bool IsAllowed = co_await StoreStart_(LoadName);
    if (!IsAllowed) {
      StoreRetryAt_ = BootClock::now() + StoreRetryInterval;
      break;
    }
    // The lease and the candidates may have changed during the request.
    TimePoint Now = BootClock::now();
    OwnedPtr Entry = nextLoadTarget(Now);
    if (!Entry) {
      StoreEnd_(LoadName);
      break;
    }
    LoadAction Order =
        Entry->Owner_.startLoad(*Entry->Owner_.nextLoad(Now), Now);
    spawn(Executor_, load(Entry, std::move(Order), std::move(LoadName)));
  }
  StartingLoads_ = false;
}

asio::awaitable<void> TargetOwnerService::load(OwnedPtr Entry, LoadAction Order,
                                               std::string LoadName) {
  TimePoint Started = BootClock::now();
  // The coroutine body runs after spawn has returned, so the lease is checked
  // again.
  Status OrderStatus =
      Error{ErrorCode::Refused, Entry->Name_, "lease lost", ""};
  if (mayOrder(*Entry))
    OrderStatus = co_await Entry->Client_.load(
        Order.Adapter_, Order.Weights_, Ownership_->lease().fencingToken(),
        std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_));
  // A load that timed out may still be running; its share of the budget expires
  // later.
  if (isOk(OrderStatus) || errorOf(OrderStatus).Code_ != ErrorCode::Timeout)
    StoreEnd_(LoadName);
  TimePoint Now = BootClock::now();
  Entry->Owner_.loadEnded(Order.Adapter_, OrderStatus, Now);
  Metrics_->count("anvil_loads_total",
                  {{"result", isOk(OrderStatus) ? "loaded" : "failed"}});
  if (isOk(OrderStatus))
    Metrics_->observe("anvil_load_seconds", {}, Now - Started);
  else
    logEvent(LogLevel::Warning, "adapter_load_failed",
             {{"target", Entry->Name_},
              {"adapter", Order.Adapter_.Adapter_},
              {"version", Order.Adapter_.Version_},
              {"problem", errorOf(OrderStatus).describe()}});
  drive(Entry);
  co_await poll(Entry);
}

asio::awaitable<void> TargetOwnerService::unload(OwnedPtr Entry,
                                                 AdapterRef Adapter) {
  Status OrderStatus = Error{ErrorCode::Refused, Entry->Name_, "in use", ""};
  Duration Timeout =
      std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_);
  TimePoint SentAt = BootClock::now();
  // VMs that found no owner may use the adapter without this owner's permit;
  // the engine's status shows whether they do.
  auto LatestStatus = co_await Entry->Client_.status(Timeout);
  bool IsIdle = isOk(LatestStatus);
  if (IsIdle) {
    Entry->Owner_.engineStatus(valueOf(LatestStatus), SentAt, BootClock::now());
    for (const ResidentAdapter &Resident : valueOf(LatestStatus).Resident_)
      IsIdle &= Resident.Name_ != Adapter.text() || Resident.Running_ == 0;
  }
  if (IsIdle && mayOrder(*Entry)) {
    OrderStatus = co_await Entry->Client_.unload(
        Adapter, Ownership_->lease().fencingToken(),
        std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_));
    Metrics_->count("anvil_evictions_total",
                    {{"result", isOk(OrderStatus) ? "evicted" : "failed"}});
  }
  Entry->Owner_.unloadEnded(Adapter, OrderStatus, BootClock::now());
  drive(Entry);
}

asio::awaitable<void> TargetOwnerService::poll(OwnedPtr Entry) {
  if (Entry->Stopped_ || std::exchange(Entry->Polling_, true))
    co_return;
  TimePoint SentAt = BootClock::now();
  auto Reply = co_await Entry->Client_.status(
      std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_));
  Entry->Polling_ = false;
  if (Entry->Stopped_)
    co_return;
  EngineStatus Empty;
  if (isOk(Reply))
    Entry->Owner_.engineStatus(valueOf(Reply), SentAt, BootClock::now());
  report(*Entry, isOk(Reply), isOk(Reply) ? valueOf(Reply) : Empty, SentAt);
  drive(Entry);
}

void TargetOwnerService::report(Owned &Entry, bool Reachable,
                                const EngineStatus &Status, TimePoint SentAt) {
  TimePoint Now = BootClock::now();
  TargetReport Report;
  Report.Target_ = Entry.Name_;
  Report.Reachable_ = Reachable;
  Report.Owner_ = Settings_.Vm_;
  Report.ReportedAt_ = SentAt;
  Report.Incarnation_ = Status.Incarnation_;
  Report.Running_ = Status.Running_;
  Report.Waiting_ =
      Status.Waiting_ + static_cast<std::int64_t>(Entry.Owner_.waiting());
  Report.EstimatedWait_ = Entry.Owner_.queueWait(0, Now);
  for (const auto &[Adapter, Record] : Entry.Owner_.adapters().all())
    if (Record.State_ == Residency::Resident)
      Report.Resident_.insert(Adapter.text());
  for (const AdapterRef &Adapter : Entry.Owner_.highDemandAdapters(Now))
    Report.HighDemand_.insert(Adapter.text());
  Directory_->update(Report);
  TargetReport &LastReport = Entry.LastReport_;
  Duration Period =
      std::chrono::milliseconds(Settings_.Placement_.ReportPeriodMs_);
  bool IsFull = Report.Resident_ != LastReport.Resident_ ||
                Report.HighDemand_ != LastReport.HighDemand_ ||
                Report.Incarnation_ != LastReport.Incarnation_ ||
                Report.Reachable_ != LastReport.Reachable_ ||
                Now - Entry.FullSentAt_ >= BriefReportsPerFull * Period;
  if (!IsFull && Now - Entry.BriefSentAt_ < Period)
    return;
  Entry.BriefSentAt_ = Now;
  if (IsFull)
    Entry.FullSentAt_ = Now;
  TargetReportItem Item{Report.Target_,
                        Report.Incarnation_,
                        Report.Reachable_,
                        Report.Running_,
                        Report.Waiting_,
                        Report.EstimatedWait_.count(),
                        IsFull,
                        {},
                        {}};
  if (IsFull) {
    Item.Resident_.assign(Report.Resident_.begin(), Report.Resident_.end());
    Item.HighDemand_.assign(Report.HighDemand_.begin(),
                            Report.HighDemand_.end());
  }
  sendReport(Item);
  LastReport = std::move(Report);
}

void TargetOwnerService::sendReport(const TargetReportItem &Item) {
  TargetReportMessage Message;
  Message.Items_.push_back(Item);
  for (const std::string &Vm : Members_->liveVmsIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_)
      notifyPeer(*Network_, Vm, Message);
}

void TargetOwnerService::applyReport(const std::string &From,
                                     const TargetReportItem &Item) {
  TargetReport Report;
  if (const TargetReport *Previous = Directory_->find(Item.Target_))
    Report = *Previous;
  // A brief report of a new incarnation lacks the lists and would leave those
  // of the old one in place.
  if (!Item.Full_ && Report.Incarnation_ != Item.Incarnation_)
    return;
  Report.Target_ = Item.Target_;
  Report.Incarnation_ = Item.Incarnation_;
  Report.Reachable_ = Item.Reachable_;
  Report.Owner_ = From;
  Report.ReportedAt_ = BootClock::now();
  Report.Running_ = Item.Running_;
  Report.Waiting_ = Item.Waiting_;
  Report.EstimatedWait_ = Duration(Item.EstimatedWaitUs_);
  if (Item.Full_) {
    Report.Resident_ = {Item.Resident_.begin(), Item.Resident_.end()};
    Report.HighDemand_ = {Item.HighDemand_.begin(), Item.HighDemand_.end()};
  }
  Directory_->update(std::move(Report));
}

} // namespace anvil
