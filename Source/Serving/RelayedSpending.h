#ifndef ANVIL_SERVING_RELAYEDSPENDING_H
#define ANVIL_SERVING_RELAYEDSPENDING_H

#include "Kernel/Clock.h"

#include <cstdint>
#include <map>
#include <string>

namespace anvil {

/// What customers have spent in a data centre since its teller started. Goes
/// down where a request is refunded.
using TokenTotals = std::map<std::string, std::int64_t>;

/// Works out what customers newly spent in another data centre, from the totals
/// that a few VMs there tell. These tell of the same spending, each since its
/// own start, so a new teller's first totals only set its mark, and the highest
/// of the fresh tellers counts: what two of them tell is charged once, and what
/// one of them missed, or a teller that falls silent, takes nothing back.
class RelayedSpending {
public:
  /// Takes in what one VM tells, good for `Time`. Returns what is newly spent,
  /// by customer; negative after refunds.
  TokenTotals note(const std::string &Teller, const std::string &Incarnation,
                   const TokenTotals &Totals, Duration Time, TimePoint Now);

private:
  struct Mark {
    std::string Incarnation_;
    TokenTotals Totals_;
    /// How far the totals have come, counted as what was charged is.
    TokenTotals Level_;
    TimePoint Until_{};
  };

  void dropSilent(TimePoint Now);
  std::int64_t highest(const std::string &Customer) const;

  /// The tellers whose totals are good.
  std::map<std::string, Mark> Tellers_;
  TokenTotals Charged_;
};

} // namespace anvil

#endif // ANVIL_SERVING_RELAYEDSPENDING_H
