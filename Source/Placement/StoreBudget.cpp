#include "Placement/StoreBudget.h"

#include "Kernel/Invariant.h"
#include "Membership/Rendezvous.h"

#include <algorithm>

namespace anvil {

/// The key of the rendezvous order of VMs for the store's budget.
static constexpr std::string_view HolderKey = "weight-store";

std::vector<std::string> budgetHolders(const StoreLimits &Total,
                                       std::vector<std::string> Vms) {
  auto Order = rendezvousOrder(HolderKey, std::move(Vms));
  auto MaxHolders =
      static_cast<std::size_t>(std::max<std::int64_t>(0, Total.Concurrent_));
  if (Order.size() > MaxHolders)
    Order.resize(MaxHolders);
  return Order;
}

StoreLimits budgetShare(const StoreLimits &Total,
                        const std::vector<std::string> &Vms,
                        const std::string &Self) {
  auto Holders = budgetHolders(Total, Vms);
  auto Found = std::find(Holders.begin(), Holders.end(), Self);
  if (Found == Holders.end())
    return {};
  auto Count = static_cast<std::int64_t>(Holders.size());
  bool GetsRemainder = Found - Holders.begin() < Total.Concurrent_ % Count;
  return {Total.LoadsPerSecond_ / static_cast<double>(Count),
          Total.Concurrent_ / Count + GetsRemainder};
}

void StoreBudget::setShare(StoreLimits Share, Duration ActivationDelay,
                           TimePoint Now) {
  refill(Now);
  bool WasZero = Share_.Concurrent_ == 0;
  if (WasZero && Share.Concurrent_ > 0)
    UsableAt_ = Now + ActivationDelay;
  Share_ = Share;
  Tokens_ = std::min(Tokens_, static_cast<double>(Share_.Concurrent_));
}

void StoreBudget::refill(TimePoint Now) {
  double MaxTokens = static_cast<double>(Share_.Concurrent_);
  if (RefilledAt_ != TimePoint{})
    Tokens_ = std::min(MaxTokens, Tokens_ + toSeconds(Now - RefilledAt_) *
                                                Share_.LoadsPerSecond_);
  RefilledAt_ = Now;
  std::erase_if(Running_, [&](const auto &Entry) {
    return Now - Entry.second > MaxLoadTime_;
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
