#ifndef ANVIL_SERVING_UNANSWEREDORDERS_H
#define ANVIL_SERVING_UNANSWEREDORDERS_H

#include "Kernel/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace anvil {

/// The orders that were sent to one engine and have no response yet. Each may
/// still be executed, once, as soon as the engine has accepted exactly as many
/// orders as it expects, until `Window` after it was sent. An order that
/// expects more orders than the engine has accepted isn't void: it is executed
/// when the engine gets there. Survives changes of the owner and restarts of
/// the engine, after which the count begins anew.
class UnansweredOrders {
public:
  explicit UnansweredOrders(Duration Window) : Window_(Window) {}

  /// Records that an order is being sent. `Adapter` is what it loads; empty if
  /// it adds nothing to the engine. Returns a number for `recordResponse`.
  std::uint64_t recordSent(const std::string &Adapter,
                           std::uint64_t ExpectedOrders, TimePoint Now);

  /// Records that the engine has responded, so that the order is executed no
  /// more.
  void recordResponse(std::uint64_t Number) { Orders_.erase(Number); }

  /// Records that another process sent orders to the engine until now, of which
  /// nothing is known but that each expected at most `MaxAhead` orders more
  /// than the engine had accepted.
  void recordPredecessor(TimePoint Now);

  /// Records that the engine has accepted exactly this many orders by now, so
  /// that a predecessor's can't expect more than a few beyond that.
  void recordCertainCount(std::uint64_t Count, TimePoint Now);

  /// Records that the engine restarted and counts its orders anew.
  void recordRestart() { PredecessorCount_.reset(); }

  /// The largest number of adapters beside `Held` that unanswered orders may
  /// add to the engine without a further order, if it has accepted at least
  /// `MinCount` orders, and the order that expects `Next` is executed. An order
  /// that also expects `Next` is refused then; one that expects more is
  /// executed only if those before it are.
  std::size_t maxAdded(std::uint64_t MinCount, std::uint64_t Next,
                       const std::set<std::string> &Held, TimePoint Now) const;

  /// Whether an order that expects a count in [From, To) may have been executed
  /// or may still be.
  bool anyExpecting(std::uint64_t From, std::uint64_t To, TimePoint Now) const;

  /// The number of orders that may still be executed.
  std::size_t count(TimePoint Now) const;

  /// How many more orders than the engine had accepted an order may expect.
  static constexpr std::uint64_t MaxAhead = 1;

private:
  struct SentOrder {
    std::string Adapter_;
    std::uint64_t ExpectedOrders_ = 0;
    TimePoint SentAt_{};
  };

  bool isLive(const SentOrder &Order, TimePoint Now) const {
    return Order.SentAt_ + Window_ > Now;
  }

  Duration Window_;
  std::map<std::uint64_t, SentOrder> Orders_;
  std::uint64_t LastNumber_ = 0;
  /// Until when orders of a predecessor may be executed, and the engine's count
  /// when this was first certain.
  TimePoint PredecessorUntil_{};
  std::optional<std::uint64_t> PredecessorCount_;
};

} // namespace anvil

#endif // ANVIL_SERVING_UNANSWEREDORDERS_H
