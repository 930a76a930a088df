#include "LoadTool/RequestLog.h"

namespace anvil {

ReferenceQuota::ReferenceQuota(const std::vector<Entitlement> &Entitlements) {
  for (const Entitlement &Given : Entitlements)
    Buckets_.emplace(Given.Customer_,
                     TokenBucket(Given.RateTokensPerSecond_, Given.BurstTokens_,
                                 Given.BurstTokens_, TimePoint{}));
}

bool ReferenceQuota::admit(const std::string &Customer, double Tokens,
                           Duration Elapsed) {
  auto Found = Buckets_.find(Customer);
  return Found == Buckets_.end() ||
         Found->second.take(Tokens, TimePoint{} + Elapsed);
}

void ReferenceQuota::refund(const std::string &Customer, double Tokens,
                            Duration Elapsed) {
  auto Found = Buckets_.find(Customer);
  if (Found != Buckets_.end() && Tokens > 0)
    Found->second.returnTokens(Tokens, TimePoint{} + Elapsed);
}

} // namespace anvil
