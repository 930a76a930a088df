#ifndef ANVIL_SERVING_REMOTESPENDING_H
#define ANVIL_SERVING_REMOTESPENDING_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvil {

/// Tokens that customers have spent in a data centre since the sender of the
/// totals started. Decreases when a request is refunded.
using TokenTotals = std::map<std::string, std::int64_t>;

/// Computes what customers newly spent in another data centre, from the totals
/// that a few VMs there report. The reports cover the same spending, each since
/// the start of its sender. The first totals of a new sender are therefore its
/// baseline only, and the highest valid report counts. Spending that two
/// senders report is charged once, and nothing is refunded because a sender
/// missed some spending or became unresponsive.
class RemoteSpending {
public:
  /// Applies the totals of one sender, valid for `Validity`. Returns the new
  /// spending by customer; negative after refunds.
  TokenTotals recordTotals(const std::string &Sender,
                           const std::string &Incarnation,
                           const TokenTotals &Totals, Duration Validity,
                           TimePoint Now);

private:
  struct SenderState {
    std::string Incarnation_;
    TokenTotals Totals_;
    /// What `Charged_` would be by this sender's totals alone.
    TokenTotals ChargeLevel_;
    TimePoint Until_{};
  };

  void dropExpired(TimePoint Now);
  std::int64_t highestLevel(const std::string &Customer) const;

  /// The senders whose totals are still valid.
  std::map<std::string, SenderState> Senders_;
  TokenTotals Charged_;
};

} // namespace anvil

#endif // ANVIL_SERVING_REMOTESPENDING_H
