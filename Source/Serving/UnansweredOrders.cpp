#include "Serving/UnansweredOrders.h"

#include <algorithm>

namespace anvil {

std::uint64_t UnansweredOrders::recordSent(const std::string &Adapter,
                                           std::uint64_t ExpectedOrders,
                                           TimePoint Now) {
  std::erase_if(Orders_,
                [&](const auto &Entry) { return !isLive(Entry.second, Now); });
  Orders_[++LastNumber_] = {Adapter, ExpectedOrders, Now};
  return LastNumber_;
}

void UnansweredOrders::recordPredecessor(TimePoint Now) {
  PredecessorUntil_ = Now + Window_;
  PredecessorCount_.reset();
}

void UnansweredOrders::recordCertainCount(std::uint64_t Count, TimePoint Now) {
  if (Now < PredecessorUntil_ && !PredecessorCount_)
    PredecessorCount_ = Count;
}

std::size_t UnansweredOrders::maxAdded(std::uint64_t MinCount,
                                       std::uint64_t Next,
                                       const std::set<std::string> &Held,
                                       TimePoint Now) const {
  // The loads that may be executed, by the count that they expect; only one of
  // those that expect the same count can be.
  std::map<std::uint64_t, bool> AddsAt;
  std::set<std::string> Added;
  for (const auto &[Number, Order] : Orders_) {
    if (!isLive(Order, Now) || Order.ExpectedOrders_ < MinCount ||
        Order.ExpectedOrders_ == Next)
      continue;
    bool IsAdded = !Order.Adapter_.empty() && !Held.contains(Order.Adapter_);
    AddsAt[Order.ExpectedOrders_] |= IsAdded;
  }
  std::size_t Unknown = 0;
  if (Now < PredecessorUntil_) {
    std::uint64_t End = PredecessorCount_.value_or(Next) + MaxAhead + 1;
    for (std::uint64_t Count = Next + 1; Count < End; ++Count) {
      AddsAt[Count] = true;
      ++Unknown;
    }
  }
  std::size_t Counts = 0;
  std::uint64_t Reached = Next + 1;
  for (const auto &[Count, Adds] : AddsAt) {
    if (Count > Reached)
      break;
    Counts += Adds ? 1 : 0;
    Reached = Count >= Next ? Count + 1 : Reached;
  }
  for (const auto &[Number, Order] : Orders_) {
    bool IsReached = isLive(Order, Now) && Order.ExpectedOrders_ >= MinCount &&
                     Order.ExpectedOrders_ != Next &&
                     Order.ExpectedOrders_ < Reached;
    if (IsReached && !Order.Adapter_.empty() && !Held.contains(Order.Adapter_))
      Added.insert(Order.Adapter_);
  }
  return std::min(Counts, Added.size() + Unknown);
}

bool UnansweredOrders::anyExpecting(std::uint64_t From, std::uint64_t To,
                                    TimePoint Now) const {
  if (Now < PredecessorUntil_ && From < To)
    return true;
  return std::ranges::any_of(Orders_, [&](const auto &Entry) {
    const SentOrder &Order = Entry.second;
    return isLive(Order, Now) && Order.ExpectedOrders_ >= From &&
           Order.ExpectedOrders_ < To;
  });
}

std::size_t UnansweredOrders::count(TimePoint Now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Orders_, [&](const auto &Entry) { return isLive(Entry.second, Now); }));
}

} // namespace anvil
