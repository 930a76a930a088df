#ifndef ANVIL_SERVING_ENGINEKEEPER_H
#define ANVIL_SERVING_ENGINEKEEPER_H

#include "Serving/Target.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace anvil {

/// What an engine is told to do.
enum class OrderKind { LoadModel, LoadAdapter, UnloadAdapter };

inline constexpr std::pair<OrderKind, std::string_view> OrderKindNames[] = {
    {OrderKind::LoadModel, "load_model"},
    {OrderKind::LoadAdapter, "load_adapter"},
    {OrderKind::UnloadAdapter, "unload_adapter"},
};

/// The stable name of an order's kind, as logs show it.
std::string_view orderKindName(OrderKind Kind);

/// An order to an engine.
struct EngineOrder {
  OrderKind Kind_ = OrderKind::LoadAdapter;
  std::string Model_;
  std::string Adapter_;
  /// Zero asks for the newest version.
  std::uint64_t Version_ = 0;
  /// The engine refuses the order unless it has accepted this many before.
  std::uint64_t ExpectedOrders_ = 0;
};

/// How an engine answered an order.
enum class OrderAnswer {
  Accepted,
  AlreadyHolds,
  /// Another order is under way, or more orders were accepted than expected.
  Conflict,
  /// The engine will not carry it out, now or later.
  Refused,
  /// Another incarnation or another target has the address.
  NotThere,
  /// No answer; it may be carried out now or later.
  Unknown,
};

inline constexpr std::pair<OrderAnswer, std::string_view> OrderAnswerNames[] = {
    {OrderAnswer::Accepted, "accepted"},
    {OrderAnswer::AlreadyHolds, "already_holds"},
    {OrderAnswer::Conflict, "conflict"},
    {OrderAnswer::Refused, "refused"},
    {OrderAnswer::NotThere, "not_there"},
    {OrderAnswer::Unknown, "unknown"},
};

/// The stable name of an order's answer, as logs show it.
std::string_view orderAnswerName(OrderAnswer Answer);

/// An adapter on an engine, or on its way there.
struct AdapterPlace {
  std::uint64_t Version_ = 0;
  /// From when it is expected to be usable.
  TimePoint ReadyAt_{};
  TimePoint LastUse_{};
};

/// What an engine's owner assumes of load times and places.
struct EngineKeeperOptions {
  int MaxAdapters_ = 1;
  /// The adapters that may be in transit to one engine; from the platform's
  /// documentation.
  int MaxInTransit_ = 4;
  /// An adapter from the weight store; from the users' sheets.
  Duration AdapterLoad_ = std::chrono::milliseconds(250);
  /// An adapter that the engine held recently loads ten times as fast.
  Duration WarmAdapterLoad_ = std::chrono::milliseconds(25);
  /// Until then one place stays free: an order that was left unanswered in the
  /// engine's earlier life may still be carried out, once the engine has
  /// accepted as many orders again.
  TimePoint SpareUntil_{};
  /// So many adapters that the engine held lately load fast, those that it
  /// holds among them.
  std::size_t WarmAdapters_ = 1;
  /// How long an adapter stays before it may be dropped, against thrashing.
  Duration MinResidence_ = std::chrono::milliseconds(1000);
  /// How long a want is kept that isn't repeated.
  Duration WantTime_ = std::chrono::milliseconds(400);
};

/// Decides the orders to one engine that this VM owns: which adapters come and
/// which make way. Orders go out one at a time, and each names the number of
/// orders accepted before it, so that one that is carried out late fails.
/// Answers the load of many rare adapters on few places.
class EngineKeeper {
public:
  EngineKeeper(std::string Model, EngineKeeperOptions Options)
      : Model_(std::move(Model)), Options_(Options) {}

  /// Takes over what the engine says it holds, and forgets what was believed.
  /// False when the report is older than the last accepted order; then it must
  /// be read again.
  bool adopt(const EngineReport &Report, TimePoint Now);

  /// Whether the engine's state must be read before the next order.
  bool needsReport() const { return NeedsReport_; }

  /// Asks for the report to be read, after a sign that the beliefs are wrong.
  void doubt() { NeedsReport_ = true; }

  /// A VM wants an adapter here. Returns when it should be usable, if known.
  std::optional<TimePoint> want(const std::string &Adapter,
                                std::uint64_t Version, TimePoint Now);

  /// An adapter has running requests at this moment.
  void noteUse(const std::string &Adapter, TimePoint Now);

  /// A newer version has been named. Replaced as soon as no request runs on
  /// the old one, or at `ReplaceBy`.
  void noteVersion(const std::string &Adapter, std::uint64_t Version,
                   TimePoint ReplaceBy);

  /// The next order, if there is one to give. No further one is given until
  /// `noteAnswer`. `TransitFactor` lengthens the expected load time; beyond a
  /// bound loads from the weight store wait their turn, since more at once only
  /// end later.
  std::optional<EngineOrder> nextOrder(double TransitFactor, TimePoint Now);

  /// Notes the answer to the order given last.
  void noteAnswer(OrderAnswer Answer, TimePoint Now);

  /// What the engine holds and what is on its way, by adapter.
  const std::map<std::string, AdapterPlace> &places() const { return Places_; }

  bool hasModel() const { return HasModel_; }
  std::uint64_t ordersAccepted() const { return OrdersAccepted_; }

  /// Adapters that are in transit to the engine.
  int inTransit(TimePoint Now) const;

private:
  struct Want {
    std::uint64_t Version_ = 0;
    TimePoint FirstAt_{};
    TimePoint LastAt_{};
  };
  struct Replacement {
    std::uint64_t Version_ = 0;
    TimePoint By_{};
  };

  std::optional<EngineOrder> give(EngineOrder Order, Duration Load);
  /// The adapters that the engine may be made to hold.
  std::size_t mostPlaces(TimePoint Now) const;
  std::optional<std::string> victim(TimePoint Now) const;
  bool isInUse(const AdapterPlace &Place, TimePoint Now) const;
  void remember(const std::string &Adapter, TimePoint Now);

  std::string Model_;
  EngineKeeperOptions Options_;
  std::map<std::string, AdapterPlace> Places_;
  std::map<std::string, Want> Wants_;
  std::map<std::string, Replacement> Replacements_;
  /// Adapters held lately, with the moment they were.
  std::map<std::string, TimePoint> Warm_;
  std::optional<EngineOrder> Pending_;
  Duration PendingLoad_{};
  std::uint64_t OrdersAccepted_ = 0;
  bool NeedsReport_ = true;
  bool HasAdopted_ = false;
  bool HasModel_ = false;
  TimePoint ModelReadyAt_{};
};

} // namespace anvil

#endif // ANVIL_SERVING_ENGINEKEEPER_H
