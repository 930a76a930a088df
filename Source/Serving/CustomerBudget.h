#ifndef ANVIL_SERVING_CUSTOMERBUDGET_H
#define ANVIL_SERVING_CUSTOMERBUDGET_H

#include "Admission/TokenBucket.h"
#include "Serving/RemoteSpending.h"
#include "Serving/ServingPlan.h"
#include "Serving/SpendingPace.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace anvil {

/// Tokens that a VM has spent since it started, by customer; sent to the other
/// VMs.
using SpentTokens = std::map<std::string, std::uint64_t>;

/// Tokens that customers may spend now; negative after overspending.
using TokenBalances = std::map<std::string, std::int64_t>;

/// The overage that the rules allow customers above rate and burst in any
/// window.
struct BudgetAllowance {
  Duration Window_{};
  /// As a fraction of what rate and burst give in the window.
  double Overage_ = 0;
  double SlackTokens_ = 0;
};

/// The decision whether a request fits its customer's rate.
struct BudgetDecision {
  bool Allowed_ = true;
  /// The time until the tokens are available, if they are not now.
  Duration RetryAfter_{};
  double Balance_ = 0;
};

/// Enforces the customers' token rates over all VMs. Every VM charges each
/// customer's bucket with its own requests and with the spending that the other
/// VMs report. Unreachable VMs may be spending as well, so the bucket refills
/// only at the reachable VMs' share of the rate; an isolated VM falls back to
/// its own share. Handles customers who send several times their rate; what a
/// VM spends for them is paced.
class CustomerBudget {
public:
  /// Applies the rates of a plan. Buckets of new customers start at
  /// `StartShare` of their burst.
  void setPlan(const ServingPlan &Plan, double StartShare, TimePoint Now);

  /// Sets the share of all VMs that is reachable, this one included; in (0, 1].
  void setReachableShare(double Share, TimePoint Now);

  /// Sets the number of VMs that spend from the same buckets and learn of each
  /// other's spending late, this one included; 1 spends without a pace.
  void setReachableVms(std::size_t Count) { ReachableVms_ = Count; }

  /// Charges a request if its customer has enough tokens.
  BudgetDecision charge(const std::string &Customer, double Tokens,
                        TimePoint Now);

  /// Refunds a request that no target has run.
  void refund(const std::string &Customer, double Tokens, TimePoint Now);

  /// Applies the spending that another VM reports. The first update of a VM
  /// only sets the baseline from which its spending counts.
  void recordPeerSpending(const std::string &Vm, const std::string &Incarnation,
                          const SpentTokens &Spent, TimePoint Now);

  /// Applies the spending of another data centre as one of its VMs reports it;
  /// valid for `Validity`.
  void recordRemoteSpending(const std::string &DataCentre,
                            const std::string &Sender,
                            const std::string &Incarnation,
                            const TokenTotals &Totals, Duration Validity,
                            TimePoint Now);

  /// What this VM and its peers have spent since this VM started; sent to VMs
  /// of other data centres.
  const TokenTotals &spentWithPeers() const { return GroupSpent_; }

  /// The customers' current balances.
  TokenBalances balances(TimePoint Now);

  /// Replaces the balances by those of another VM.
  void adoptBalances(const TokenBalances &Balances, TimePoint Now);

  /// Grants every customer half of the allowed overage. For a fleet whose VMs
  /// all started together, so that past spending is unknown.
  void grantInitialBalances(const BudgetAllowance &Allowance, TimePoint Now);

  /// What this VM has spent since it started.
  const SpentTokens &spent() const { return Spent_; }

private:
  struct Account {
    TokenBucket Bucket_;
    double RatePerSecond_ = 0;
    double Burst_ = 0;
    SpendingPace Pace_{};
  };
  struct PeerBaseline {
    std::string Incarnation_;
    SpentTokens Spent_;
  };

  void resizeBucket(Account &Entry, TimePoint Now) const;
  SharedBucket sharedBucket(Account &Entry, TimePoint Now) const;
  void applySpending(const std::string &Customer, std::int64_t Tokens,
                     TimePoint Now);

  std::map<std::string, Account> Accounts_;
  std::map<std::string, PeerBaseline> Peers_;
  SpentTokens Spent_;
  TokenTotals GroupSpent_;
  std::map<std::string, RemoteSpending> DataCentres_;
  double ReachableShare_ = 1;
  std::size_t ReachableVms_ = 1;
};

} // namespace anvil

#endif // ANVIL_SERVING_CUSTOMERBUDGET_H
