#include "Admission/FixedSplitQuota.h"

#include <algorithm>

namespace anvil {

FixedSplitQuota::FixedSplitQuota(std::shared_ptr<ConfigState> State,
                                 VmCountHook VmCount)
    : State_(std::move(State)), VmCount_(std::move(VmCount)) {}

TokenBucket &FixedSplitQuota::bucketOf(const Customer &Owner, TimePoint Now) {
  auto Vms = static_cast<double>(std::max<std::size_t>(1, VmCount_()));
  double Rate = Owner.RateTokensPerSecond_ / Vms;
  double Burst = Owner.BurstTokens_ / Vms;
  auto [Entry, IsNew] =
      Buckets_.try_emplace(Owner.Name_, Rate, Burst, Burst, Now);
  if (!IsNew)
    Entry->second.updateLimits(Rate, Burst, Now);
  return Entry->second;
}

boost::asio::awaitable<Outcome<QuotaCharge>>
FixedSplitQuota::charge(const RequestContext &Request) {
  QuotaCharge Charge{Request.Customer_, Request.UpperBoundTokens_};
  const Customer *Owner =
      Request.Snapshot_->Objects_.find<Customer>(Request.Customer_);
  if (!Owner)
    co_return Charge;
  TimePoint Now = BootClock::now();
  TokenBucket &Bucket = bucketOf(*Owner, Now);
  if (Bucket.take(Charge.Tokens_, Now))
    co_return Charge;
  Duration Wait = Bucket.waitFor(Charge.Tokens_, Now);
  if (Wait == Duration::max())
    co_return Refusal{RefusalCode::ExceedsBurst,
                      "the request is larger than this VM's part of the burst",
                      Execution::No, std::nullopt};
  co_return Refusal{RefusalCode::RateExceeded, "the customer's rate is used up",
                    Execution::No, Wait};
}

void FixedSplitQuota::settle(const QuotaCharge &Charge, double UsedTokens) {
  auto Found = Buckets_.find(Charge.Customer_);
  double Unused = Charge.Tokens_ - UsedTokens;
  if (Found != Buckets_.end() && Unused > 0)
    Found->second.returnTokens(Unused, BootClock::now());
}

} // namespace anvil
