#ifndef ANVIL_ADMISSION_FIXEDSPLITQUOTA_H
#define ANVIL_ADMISSION_FIXEDSPLITQUOTA_H

#include "Admission/TokenBucket.h"
#include "Config/ConfigState.h"
#include "Requests/QuotaGate.h"

#include <functional>
#include <map>
#include <memory>

namespace anvil {

/// Gives each VM an equal and fixed part of every customer's rate and burst. It
/// is the baseline for comparisons with leased shares.
class FixedSplitQuota : public QuotaGate {
public:
  /// Returns the number of VMs over which the quotas are split.
  using VmCountHook = std::function<std::size_t()>;

  FixedSplitQuota(std::shared_ptr<ConfigState> State, VmCountHook VmCount);

  boost::asio::awaitable<Outcome<QuotaCharge>>
  charge(const RequestContext &Request) override;
  void settle(const QuotaCharge &Charge, double UsedTokens) override;

private:
  TokenBucket &bucketOf(const Customer &Owner, TimePoint Now);

  std::shared_ptr<ConfigState> State_;
  VmCountHook VmCount_;
  std::map<std::string, TokenBucket> Buckets_;
};

} // namespace anvil

#endif // ANVIL_ADMISSION_FIXEDSPLITQUOTA_H
