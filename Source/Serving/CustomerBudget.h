#ifndef ANVIL_SERVING_CUSTOMERBUDGET_H
#define ANVIL_SERVING_CUSTOMERBUDGET_H

#include "Admission/TokenBucket.h"
#include "Serving/RelayedSpending.h"
#include "Serving/ServingPlan.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvil {

/// What each VM tells the others it has spent, by customer, since it started.
using SpentTokens = std::map<std::string, std::uint64_t>;

/// What customers may spend at once; negative after too much was spent.
using TokenBalances = std::map<std::string, std::int64_t>;

/// What the rules allow customers beyond rate and burst, in any window.
struct BudgetAllowance {
  Duration Window_{};
  /// A part of what rate and burst give in the window.
  double Overage_ = 0;
  double SlackTokens_ = 0;
};

/// Whether a request fits its customer's rate.
struct BudgetVerdict {
  bool Allowed_ = true;
  /// When the tokens will be there, if they are not now.
  Duration RetryAfter_{};
  double Balance_ = 0;
};

/// Keeps customers to their token rates over all VMs. Every VM charges each
/// customer's bucket with its own requests and with what the others say they
/// have spent. VMs that are not heard may be spending as well, so the bucket
/// grows only by the part of the VMs that are; a cut VM falls to its own part.
/// Answers the load of customers who send several times their rate.
class CustomerBudget {
public:
  /// Takes over the rates of a plan. New customers start with a part of their
  /// burst given by `StartShare`.
  void setPlan(const ServingPlan &Plan, double StartShare, TimePoint Now);

  /// Sets which part of all VMs is heard, this one included; in (0, 1].
  void setReach(double Part, TimePoint Now);

  /// Charges a request if its tokens are there.
  BudgetVerdict charge(const std::string &Customer, double Tokens,
                       TimePoint Now);

  /// Gives back what a request that no target has run was charged.
  void refund(const std::string &Customer, double Tokens, TimePoint Now);

  /// Takes over what another VM has spent. The first news of a VM only
  /// sets the mark from which its spending counts.
  void notePeer(const std::string &Vm, const std::string &Incarnation,
                const SpentTokens &Spent, TimePoint Now);

  /// Takes over what a VM of another data centre tells of the spending there,
  /// good for `Time`.
  void noteDataCentre(const std::string &DataCentre, const std::string &Teller,
                      const std::string &Incarnation, const TokenTotals &Totals,
                      Duration Time, TimePoint Now);

  /// What this VM and its peers have spent since this VM started, for VMs of
  /// other data centres.
  const TokenTotals &groupSpent() const { return GroupSpent_; }

  /// What the customers have left.
  TokenBalances balances(TimePoint Now);

  /// Takes over the balances that another VM has worked out.
  void takeOver(const TokenBalances &Balances, TimePoint Now);

  /// Gives every customer half of what is allowed beyond its rate, for a fleet
  /// that started all together and knows nothing of what was spent.
  void grantStart(const BudgetAllowance &Allowance, TimePoint Now);

  /// What this VM has spent since it started.
  const SpentTokens &spent() const { return Spent_; }

private:
  struct Account {
    TokenBucket Bucket_;
    double RatePerSecond_ = 0;
    double Burst_ = 0;
  };
  struct PeerMark {
    std::string Incarnation_;
    SpentTokens Spent_;
  };

  void reshape(Account &Held, TimePoint Now) const;
  void chargeSpent(const std::string &Customer, std::int64_t Tokens,
                   TimePoint Now);

  std::map<std::string, Account> Accounts_;
  std::map<std::string, PeerMark> Peers_;
  SpentTokens Spent_;
  TokenTotals GroupSpent_;
  std::map<std::string, RelayedSpending> DataCentres_;
  double Reach_ = 1;
};

} // namespace anvil

#endif // ANVIL_SERVING_CUSTOMERBUDGET_H
