#include "Placement/TargetOwnerService.h"

#include "Http/Spawn.h"
#include "Telemetry/Log.h"

namespace anvil {

namespace asio = boost::asio;

/// Brief reports between two full ones.
static constexpr int BriefReportsPerFull = 10;

/// How long after a no the weight store's budget is asked again.
static constexpr Duration StoreAskPeriod = std::chrono::milliseconds(100);

TargetOwnerService::OwnedPtr TargetOwnerService::bestWish(TimePoint Now) const {
  OwnedPtr Best;
  std::optional<LoadWish> BestWish;
  for (const auto &[TargetName, Entry] : Owned_) {
    bool IsReady = Entry->Fenced_ && mayOrder(*Entry);
    auto Wish = IsReady ? Entry->Core_.loadWish(Now) : std::nullopt;
    if (!Wish || (BestWish && !Wish->goesBefore(*BestWish)))
      continue;
    Best = Entry;
    BestWish = std::move(Wish);
  }
  return Best;
}

asio::awaitable<void> TargetOwnerService::fence(OwnedPtr Entry) {
  if (Entry->Fenced_ || std::exchange(Entry->Fencing_, true))
    co_return;
  // An order that changes nothing tells the engine the new number, so that it
  // refuses what an earlier owner sent and what is still on its way.
  AdapterRef Nothing;
  Status Ended = Error{ErrorCode::Refused, Entry->Name_, "lease lost", ""};
  if (mayOrder(*Entry))
    Ended = co_await Entry->Client_.unload(
        Nothing, Ownership_->lease().fencing(),
        std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_));
  Entry->Fencing_ = false;
  Entry->Fenced_ = isOk(Ended) || errorOf(Ended).Code_ == ErrorCode::NotFound;
  drive(Entry);
}

asio::awaitable<void> TargetOwnerService::startLoads() {
  while (bestWish(BootClock::now())) {
    std::string LoadName = Settings_.Vm_ + "/" + std::to_string(NextLoad_++);
    bool IsAllowed = co_await StoreStart_(LoadName);
    if (!IsAllowed) {
      StoreAgainAt_ = BootClock::now() + StoreAskPeriod;
      break;
    }
    // The asking took time: the lease and the wishes may have changed.
    TimePoint Now = BootClock::now();
    OwnedPtr Entry = bestWish(Now);
    if (!Entry) {
      StoreEnd_(LoadName);
      break;
    }
    LoadAction Order = Entry->Core_.startLoad(*Entry->Core_.loadWish(Now), Now);
    spawn(Executor_, load(Entry, std::move(Order), std::move(LoadName)));
  }
  Starting_ = false;
}

asio::awaitable<void> TargetOwnerService::load(OwnedPtr Entry, LoadAction Order,
                                               std::string LoadName) {
  TimePoint Started = BootClock::now();
  // The body starts after spawn returned, so the lease is looked at again.
  Status Ended = Error{ErrorCode::Refused, Entry->Name_, "lease lost", ""};
  if (mayOrder(*Entry))
    Ended = co_await Entry->Client_.load(
        Order.Adapter_, Order.Weights_, Ownership_->lease().fencing(),
        std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_));
  // A load that timed out may run on; its part of the budget lapses later.
  if (isOk(Ended) || errorOf(Ended).Code_ != ErrorCode::Timeout)
    StoreEnd_(LoadName);
  TimePoint Now = BootClock::now();
  Entry->Core_.loadEnded(Order.Adapter_, Ended, Now);
  Metrics_->count("anvil_loads_total",
                  {{"result", isOk(Ended) ? "loaded" : "failed"}});
  if (isOk(Ended))
    Metrics_->observe("anvil_load_seconds", {}, Now - Started);
  else
    logEvent(LogLevel::Warning, "adapter_load_failed",
             {{"target", Entry->Name_},
              {"adapter", Order.Adapter_.Adapter_},
              {"version", Order.Adapter_.Version_},
              {"problem", errorOf(Ended).describe()}});
  drive(Entry);
  co_await poll(Entry);
}

asio::awaitable<void> TargetOwnerService::unload(OwnedPtr Entry,
                                                 AdapterRef Adapter) {
  Status Ended = Error{ErrorCode::Refused, Entry->Name_, "in use", ""};
  Duration Timeout =
      std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_);
  TimePoint SentAt = BootClock::now();
  // VMs that saw no owner send requests without a permit.
  auto Newest = co_await Entry->Client_.status(Timeout);
  bool IsIdle = isOk(Newest);
  if (IsIdle) {
    Entry->Core_.engineStatus(valueOf(Newest), SentAt, BootClock::now());
    for (const ResidentAdapter &Known : valueOf(Newest).Resident_)
      IsIdle &= Known.Name_ != Adapter.text() || Known.Running_ == 0;
  }
  if (IsIdle && mayOrder(*Entry)) {
    Ended = co_await Entry->Client_.unload(
        Adapter, Ownership_->lease().fencing(),
        std::chrono::milliseconds(Settings_.Targets_.LoadTimeoutMs_));
    Metrics_->count("anvil_evictions_total",
                    {{"result", isOk(Ended) ? "evicted" : "failed"}});
  }
  Entry->Core_.unloadEnded(Adapter, Ended, BootClock::now());
  drive(Entry);
}

asio::awaitable<void> TargetOwnerService::poll(OwnedPtr Entry) {
  if (Entry->Dropped_ || std::exchange(Entry->Polling_, true))
    co_return;
  TimePoint SentAt = BootClock::now();
  auto Answer = co_await Entry->Client_.status(
      std::chrono::milliseconds(Settings_.Targets_.ConnectTimeoutMs_));
  Entry->Polling_ = false;
  if (Entry->Dropped_)
    co_return;
  EngineStatus Empty;
  if (isOk(Answer))
    Entry->Core_.engineStatus(valueOf(Answer), SentAt, BootClock::now());
  report(*Entry, isOk(Answer), isOk(Answer) ? valueOf(Answer) : Empty, SentAt);
  drive(Entry);
}

void TargetOwnerService::report(Owned &Entry, bool Reachable,
                                const EngineStatus &Status, TimePoint SentAt) {
  TimePoint Now = BootClock::now();
  TargetReport Made;
  Made.Target_ = Entry.Name_;
  Made.Reachable_ = Reachable;
  Made.Owner_ = Settings_.Vm_;
  Made.ReportedAt_ = SentAt;
  Made.Incarnation_ = Status.Incarnation_;
  Made.Running_ = Status.Running_;
  Made.Waiting_ =
      Status.Waiting_ + static_cast<std::int64_t>(Entry.Core_.waiting());
  Made.EstimatedWait_ = Entry.Core_.queueWait(0, Now);
  for (const auto &[Adapter, Known] : Entry.Core_.adapters().all())
    if (Known.State_ == Residency::Resident)
      Made.Resident_.insert(Adapter.text());
  for (const AdapterRef &Adapter : Entry.Core_.crowded(Now))
    Made.Crowded_.insert(Adapter.text());
  Directory_->update(Made);
  TargetReport &Last = Entry.Last_;
  Duration Period = std::chrono::milliseconds(Settings_.Placement_.ReportMs_);
  bool IsFull = Made.Resident_ != Last.Resident_ ||
                Made.Crowded_ != Last.Crowded_ ||
                Made.Incarnation_ != Last.Incarnation_ ||
                Made.Reachable_ != Last.Reachable_ ||
                Now - Entry.FullAt_ >= BriefReportsPerFull * Period;
  if (!IsFull && Now - Entry.BriefAt_ < Period)
    return;
  Entry.BriefAt_ = Now;
  if (IsFull)
    Entry.FullAt_ = Now;
  TargetReportItem Item{Made.Target_,
                        Made.Incarnation_,
                        Made.Reachable_,
                        Made.Running_,
                        Made.Waiting_,
                        Made.EstimatedWait_.count(),
                        IsFull,
                        {},
                        {}};
  if (IsFull) {
    Item.Resident_.assign(Made.Resident_.begin(), Made.Resident_.end());
    Item.Crowded_.assign(Made.Crowded_.begin(), Made.Crowded_.end());
  }
  sendReport(Item);
  Last = std::move(Made);
}

void TargetOwnerService::sendReport(const TargetReportItem &Item) {
  TargetReportMessage Message;
  Message.Items_.push_back(Item);
  for (const std::string &Vm : Members_->liveIn(Settings_.DataCentre_))
    if (Vm != Settings_.Vm_)
      notifyPeer(*Network_, Vm, Message);
}

void TargetOwnerService::takeReport(const std::string &From,
                                    const TargetReportItem &Item) {
  TargetReport Made;
  if (const TargetReport *Known = Directory_->find(Item.Target_))
    Made = *Known;
  // Without the lists of this life the report would mislead.
  if (!Item.Full_ && Made.Incarnation_ != Item.Incarnation_)
    return;
  Made.Target_ = Item.Target_;
  Made.Incarnation_ = Item.Incarnation_;
  Made.Reachable_ = Item.Reachable_;
  Made.Owner_ = From;
  Made.ReportedAt_ = BootClock::now();
  Made.Running_ = Item.Running_;
  Made.Waiting_ = Item.Waiting_;
  Made.EstimatedWait_ = Duration(Item.EstimatedWaitUs_);
  if (Item.Full_) {
    Made.Resident_ = {Item.Resident_.begin(), Item.Resident_.end()};
    Made.Crowded_ = {Item.Crowded_.begin(), Item.Crowded_.end()};
  }
  Directory_->update(std::move(Made));
}

} // namespace anvil
