#ifndef ANVIL_LOADTOOL_REQUESTLOG_H
#define ANVIL_LOADTOOL_REQUESTLOG_H

#include "Admission/TokenBucket.h"
#include "LoadTool/Scenario.h"

#include <map>
#include <string>
#include <vector>

namespace anvil {

/// How one request of a run ended.
struct RequestRecord {
  std::string Customer_;
  /// Since the run began.
  Duration Arrived_{0};
  Duration FirstToken_{0};
  Duration Taken_{0};
  /// The HTTP status; zero when the connection broke.
  int Status_ = 0;
  /// The refusal's stable code; empty for a whole answer.
  std::string Cause_;
  double UsedTokens_ = 0;
  /// Whether one ideal bucket for the whole fleet would have admitted it.
  bool WithinRate_ = true;
};

/// One token bucket a customer, which sees the requests of all VMs at once: the
/// measure for refusals that the customer's rate does not explain.
class ReferenceQuota {
public:
  explicit ReferenceQuota(const std::vector<Entitlement> &Entitlements);

  /// Whether a request of that cost is within the rate at `Since` the start.
  bool admit(const std::string &Customer, double Tokens, Duration Since);

  /// Gives back what the request did not use.
  void refund(const std::string &Customer, double Tokens, Duration Since);

private:
  std::map<std::string, TokenBucket> Buckets_;
};

/// The requests of a run and how many could not be sent.
struct RequestLog {
  std::vector<RequestRecord> Records_;
  std::int64_t NotSent_ = 0;
};

} // namespace anvil

#endif // ANVIL_LOADTOOL_REQUESTLOG_H
