#ifndef ANVIL_LOADTOOL_REQUESTLOG_H
#define ANVIL_LOADTOOL_REQUESTLOG_H

#include "Admission/TokenBucket.h"
#include "LoadTool/Scenario.h"

#include <map>
#include <string>
#include <vector>

namespace anvil {

/// The outcome of one request of a run.
struct RequestRecord {
  std::string Customer_;
  /// Time since the start of the run.
  Duration Arrived_{0};
  Duration FirstToken_{0};
  Duration Taken_{0};
  /// The HTTP status; 0 if the connection failed.
  int Status_ = 0;
  /// The stable code of the refusal; empty for a complete response.
  std::string Cause_;
  double UsedTokens_ = 0;
  /// Whether a single token bucket for the whole fleet would have admitted it.
  bool WithinRate_ = true;
};

/// One token bucket per customer for the requests to all VMs. The reference
/// that identifies refusals which the customer's rate limit does not explain.
class ReferenceQuota {
public:
  explicit ReferenceQuota(const std::vector<Entitlement> &Entitlements);

  /// Returns whether a request of that cost is within the rate at `Elapsed`
  /// after the start of the run.
  bool admit(const std::string &Customer, double Tokens, Duration Elapsed);

  /// Returns tokens that the request did not use.
  void refund(const std::string &Customer, double Tokens, Duration Elapsed);

private:
  std::map<std::string, TokenBucket> Buckets_;
};

/// The requests of a run, and the number that could not be sent.
struct RequestLog {
  std::vector<RequestRecord> Records_;
  std::int64_t NotSent_ = 0;
};

} // namespace anvil

#endif // ANVIL_LOADTOOL_REQUESTLOG_H
