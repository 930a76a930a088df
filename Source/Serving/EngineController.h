#ifndef ANVIL_SERVING_ENGINECONTROLLER_H
#define ANVIL_SERVING_ENGINECONTROLLER_H

#include "Loading/LoadDemand.h"
#include "Loading/LoadPatience.h"
#include "Loading/LoadTimeEstimate.h"
#include "Serving/Target.h"
#include "Serving/UnansweredOrders.h"
#include "Serving/VersionRequirements.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// The kinds of orders to an engine.
enum class OrderKind { LoadModel, LoadAdapter, UnloadAdapter };

inline constexpr std::pair<OrderKind, std::string_view> OrderKindNames[] = {
    {OrderKind::LoadModel, "load_model"},
    {OrderKind::LoadAdapter, "load_adapter"},
    {OrderKind::UnloadAdapter, "unload_adapter"},
};

/// The stable name of an order's kind, for logs.
std::string_view orderKindName(OrderKind Kind);

/// An order to an engine.
struct EngineOrder {
  OrderKind Kind_ = OrderKind::LoadAdapter;
  std::string Model_;
  std::string Adapter_;
  /// Zero requests the newest version.
  std::uint64_t Version_ = 0;
  /// The engine refuses the order unless it has accepted exactly this many
  /// before.
  std::uint64_t ExpectedOrders_ = 0;
};

/// An engine's response to an order.
enum class OrderResult {
  Accepted,
  AlreadyHolds,
  /// Another order is in progress, or more orders were accepted than expected.
  Conflict,
  /// The engine will not execute it, now or later.
  Refused,
  /// Another incarnation or another target has the address.
  WrongTarget,
  /// No response; the order may be executed now or later.
  Unknown,
};

inline constexpr std::pair<OrderResult, std::string_view> OrderResultNames[] = {
    {OrderResult::Accepted, "accepted"},
    {OrderResult::AlreadyHolds, "already_holds"},
    {OrderResult::Conflict, "conflict"},
    {OrderResult::Refused, "refused"},
    {OrderResult::WrongTarget, "not_there"},
    {OrderResult::Unknown, "unknown"},
};

/// The stable name of an order's result, for logs.
std::string_view orderResultName(OrderResult Result);

/// An adapter on an engine, or in transit to it.
struct HeldAdapter {
  std::uint64_t Version_ = 0;
  /// When it is expected to be usable.
  TimePoint ReadyAt_{};
  TimePoint LastUse_{};
  /// When its load was ordered, if known, and from where it is loaded.
  std::optional<TimePoint> OrderedAt_{};
  LoadSource Source_ = LoadSource::Store;
};

/// The load times and limits that an engine's owner assumes.
struct EngineControllerOptions {
  int MaxAdapters_ = 1;
  /// The maximum number of adapters in transit to one engine; from the
  /// platform's documentation.
  int MaxInTransit_ = 4;
  /// Times to load an adapter from the weight store, and one that the engine
  /// held recently; until `setLoadTimes`.
  Duration AdapterLoadTime_ = LoadTimeEstimate::InitialStoreLoad;
  Duration WarmAdapterLoadTime_ = LoadTimeEstimate::InitialEngineLoad;
  /// Until when one adapter slot is kept free for an unanswered order to the
  /// engine's earlier incarnation. The restarted engine executes it if it
  /// arrives when the count of accepted orders matches again.
  TimePoint ReserveSlotUntil_{};
  /// The number of recently held adapters that load fast, those now held
  /// included.
  std::size_t WarmAdapters_ = 1;
  /// The minimum time before an adapter may be evicted, against thrashing.
  Duration MinResidence_ = std::chrono::milliseconds(1000);
  /// How long a request for an adapter is kept if it is not repeated.
  Duration MaxRequestAge_ = std::chrono::milliseconds(400);
  /// The orders to the engine without a response, also those sent before this
  /// controller existed.
  std::shared_ptr<UnansweredOrders> Unanswered_ =
      std::make_shared<UnansweredOrders>(LateOrderWindow);

  /// How long after it was sent an order without a response may still be
  /// executed.
  static constexpr Duration LateOrderWindow = std::chrono::seconds(15);
};

/// Decides the orders to one engine that this VM owns: which adapters are
/// loaded and which are evicted. Orders are sent one at a time, and each
/// carries the number of orders accepted before it, so that the engine executes
/// at most one of those that carry the same number. Room is left for all others
/// that have no response and may still be executed. Serves many rare adapters
/// with few adapter slots.
class EngineController {
public:
  EngineController(std::string Model, EngineControllerOptions Options)
      : Model_(std::move(Model)), Options_(Options) {}

  /// Replaces the view of the engine by its report. Returns false when the
  /// report is older than the last accepted order; the state must then be read
  /// again. If reports stay older for longer than they may lag, the order
  /// wasn't accepted.
  bool adopt(const EngineReport &Report, TimePoint Now);

  /// Whether the engine's state must be read before the next order.
  bool needsReport() const { return NeedsReport_; }

  /// Requires the report to be read again, after a sign that the view is wrong.
  void requireReport() { NeedsReport_ = true; }

  /// Sets the expected times of loads. After a large fall, loads in transit are
  /// expected earlier too. `LoadNumber` counts the loads that
  /// the VM ordered, from the store and from engines' own memory.
  void setLoadTimes(const LoadTimeEstimate &Estimate, std::uint64_t LoadNumber,
                    TimePoint Now);

  /// Records a VM's request for an adapter, which replaces its earlier one.
  /// Returns when the adapter is expected to be usable, if known.
  std::optional<TimePoint> requestAdapter(const std::string &Adapter,
                                          std::uint64_t Version, TimePoint Now,
                                          const LoadDemand &Demand = {},
                                          const std::string &Vm = {});

  /// Records that an adapter has running requests at this moment.
  void recordUse(const std::string &Adapter, TimePoint Now);

  /// Records a newer version of an adapter. The old one is replaced as soon as
  /// no request runs on it, or at `ReplaceBy`.
  void recordNewVersion(const std::string &Adapter, std::uint64_t Version,
                        TimePoint ReplaceBy);

  /// Plans the replacement of every held adapter that has a newer version, also
  /// of those published before this VM owned the engine or the engine held the
  /// adapter.
  void applyVersions(const VersionRequirements &Versions);

  /// The next order, if there is one to send. No further one is returned until
  /// `recordOrderResult`. `TransitFactor` lengthens the expected load time.
  /// Above a bound, loads from the weight store wait, since more concurrent
  /// loads only finish later.
  std::optional<EngineOrder> nextOrder(double TransitFactor, TimePoint Now);

  /// Whether an adapter's load isn't ordered yet although requests for it have
  /// been repeated.
  bool isRepeatedRequest(const std::string &Adapter, TimePoint Now) const;

  /// The requested adapters whose load isn't ordered yet, and the time until
  /// each is expected to be usable. `Fleet` describes the loads of all engines;
  /// the queue of this one is taken to progress like the others'.
  std::map<std::string, Duration> queuedLoads(const StoreQueue &Fleet,
                                              TimePoint Now) const;

  /// Records the response to the last order.
  void recordOrderResult(OrderResult Result, TimePoint Now);

  /// The adapters that the engine holds or that are in transit to it, by name.
  const std::map<std::string, HeldAdapter> &heldAdapters() const {
    return HeldAdapters_;
  }

  bool hasModel() const { return HasModel_; }
  std::uint64_t ordersAccepted() const { return OrdersAccepted_; }

  /// The number of orders that may still be executed although the engine hasn't
  /// responded to them.
  std::size_t unansweredOrders(TimePoint Now) const {
    return Options_.Unanswered_->count(Now);
  }

  /// The adapter whose replacement the engine has accepted and not carried out
  /// yet; empty if there is none. The engine refuses other orders meanwhile.
  std::string adapterBeingReplaced() const {
    return Replacing_ ? Replacing_->Adapter_ : std::string();
  }

  /// The number of adapters in transit to the engine.
  int inTransit(TimePoint Now) const;

private:
  struct PendingRequest {
    std::uint64_t Version_ = 0;
    TimePoint FirstAt_{};
    TimePoint LastAt_{};
    /// The waiting requests of each VM, and when it last stated them.
    std::map<std::string, std::pair<LoadDemand, TimePoint>> Demands_;
  };
  using RequestEntry = std::pair<const std::string, PendingRequest>;
  struct Replacement {
    std::uint64_t Version_ = 0;
    TimePoint By_{};
  };

  /// A replacement that the engine has accepted. It waits for the runs on the
  /// old version.
  struct AcceptedReplacement {
    std::string Adapter_;
    std::uint64_t Version_ = 0;
    TimePoint AcceptedAt_{};
    /// Whether the engine is known to be waiting, and when to ask it again.
    bool IsWaiting_ = false;
    TimePoint CheckAt_{};
  };

  std::optional<EngineOrder> issue(EngineOrder Order, Duration Load,
                                   TimePoint Now);
  /// Whether the engine has room for what it holds after the order and for all
  /// that unanswered orders may add.
  bool hasRoomAfter(OrderKind Kind, const std::string &Adapter,
                    TimePoint Now) const;
  /// Whether an outdated adapter may be replaced, which no request may use from
  /// `ReplaceBy` on.
  bool mayReplace(const HeldAdapter &Held, TimePoint ReplaceBy,
                  TimePoint Now) const;
  /// When a newer version than the held one is required.
  TimePoint replaceBy(const std::string &Adapter, TimePoint Otherwise) const;
  /// The unload order that makes room for a load, if one is possible.
  std::optional<EngineOrder> makeRoom(TimePoint Now);
  /// Records what an accepted order shows about the engine's count.
  void recordCount(const EngineOrder &Order, OrderResult Result, bool WasHeld,
                   TimePoint Now);
  /// Keeps an accepted replacement that a report doesn't show yet.
  void keepReplacement(TimePoint Now);
  /// The demand of all VMs whose requests aren't outdated.
  LoadDemand demandOf(const PendingRequest &Request, TimePoint Now) const;
  LoadSource sourceOf(const std::string &Adapter) const;
  Duration loadTime(const std::string &Adapter) const;
  LoadPriority priorityOf(const RequestEntry &Entry, TimePoint Now) const;
  /// The maximum number of adapters that the engine may now hold.
  std::size_t maxHeldAdapters(TimePoint Now) const;
  std::optional<std::string> evictionCandidate(TimePoint Now) const;
  bool isInUse(const HeldAdapter &Entry, TimePoint Now) const;
  void markWarm(const std::string &Adapter, TimePoint Now);

  std::string Model_;
  EngineControllerOptions Options_;
  std::map<std::string, HeldAdapter> HeldAdapters_;
  std::map<std::string, PendingRequest> Requests_;
  std::map<std::string, Replacement> Replacements_;
  /// Recently held adapters with the time they were last held.
  std::map<std::string, TimePoint> Warm_;
  std::optional<EngineOrder> Pending_;
  std::uint64_t PendingNumber_ = 0;
  std::optional<AcceptedReplacement> Replacing_;
  Duration PendingLoad_{};
  LoadSource PendingSource_ = LoadSource::Store;
  Duration UsualStoreLoad_ = LoadTimeEstimate::InitialStoreLoad;
  Duration ExpectedStoreLoad_ = LoadTimeEstimate::InitialStoreLoad;
  /// Whether the next load should be one that has waited for too long.
  bool PrefersOverdue_ = true;
  /// The number of orders that the engine has accepted by its responses, and
  /// the number that it certainly has.
  std::uint64_t OrdersAccepted_ = 0;
  std::uint64_t CertainOrders_ = 0;
  bool NeedsReport_ = true;
  bool HasAdopted_ = false;
  /// Since when all reports have been older than the last accepted order.
  std::optional<TimePoint> OlderReportsSince_;
  bool HasModel_ = false;
  TimePoint ModelReadyAt_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_ENGINECONTROLLER_H
