#include "Placement/StoreBudget.h"

#include "Kernel/Invariant.h"
#include "Membership/Rendezvous.h"

#include <algorithm>

namespace anvil {

/// The key under which VMs are ordered for the store's budget.
static constexpr std::string_view HolderKey = "weight-store";

std::vector<std::string> storeHolders(const StoreLimits &Whole,
                                      std::vector<std::string> Vms) {
  auto Order = rendezvousOrder(HolderKey, std::move(Vms));
  auto Most =
      static_cast<std::size_t>(std::max<std::int64_t>(0, Whole.Concurrent_));
  if (Order.size() > Most)
    Order.resize(Most);
  return Order;
}

StoreLimits storeShare(const StoreLimits &Whole,
                       const std::vector<std::string> &Vms,
                       const std::string &Self) {
  auto Holders = storeHolders(Whole, Vms);
  auto Found = std::find(Holders.begin(), Holders.end(), Self);
  if (Found == Holders.end())
    return {};
  auto Count = static_cast<std::int64_t>(Holders.size());
  bool HasOneMore = Found - Holders.begin() < Whole.Concurrent_ % Count;
  return {Whole.LoadsPerSecond_ / static_cast<double>(Count),
          Whole.Concurrent_ / Count + HasOneMore};
}

void StoreBudget::reshape(StoreLimits Share, Duration Settle, TimePoint Now) {
  refill(Now);
  bool WasNothing = Share_.Concurrent_ == 0;
  if (WasNothing && Share.Concurrent_ > 0)
    UsableAt_ = Now + Settle;
  Share_ = Share;
  Tokens_ = std::min(Tokens_, static_cast<double>(Share_.Concurrent_));
}

void StoreBudget::refill(TimePoint Now) {
  double Most = static_cast<double>(Share_.Concurrent_);
  if (RefilledAt_ != TimePoint{})
    Tokens_ = std::min(Most, Tokens_ + toSeconds(Now - RefilledAt_) *
                                           Share_.LoadsPerSecond_);
  RefilledAt_ = Now;
  std::erase_if(Running_, [&](const auto &Entry) {
    return Now - Entry.second > LongestLoad_;
  });
}

bool StoreBudget::start(const std::string &Load, TimePoint Now) {
  refill(Now);
  if (Running_.count(Load))
    return true;
  if (Now < UsableAt_ || Tokens_ < 1 ||
      std::ssize(Running_) >= Share_.Concurrent_)
    return false;
  Tokens_ -= 1;
  Running_[Load] = Now;
  checkInvariant(std::ssize(Running_) <= Share_.Concurrent_,
                 "more loads run than the weight store allows");
  return true;
}

} // namespace anvil
