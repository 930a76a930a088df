#include "Serving/CustomerBudget.h"

#include <algorithm>

namespace anvil {

void CustomerBudget::resizeBucket(Account &Entry, TimePoint Now) const {
  Entry.Bucket_.updateLimits(Entry.RatePerSecond_ * ReachableShare_,
                             Entry.Burst_ * ReachableShare_, Now);
}

SharedBucket CustomerBudget::sharedBucket(Account &Entry, TimePoint Now) const {
  return {Entry.RatePerSecond_ * ReachableShare_,
          Entry.Burst_ * ReachableShare_, Entry.Bucket_.balance(Now),
          ReachableVms_};
}

void CustomerBudget::setPlan(const ServingPlan &Plan, double StartShare,
                             TimePoint Now) {
  std::map<std::string, Account> Next;
  for (const CustomerPlan &Customer : Plan.customers()) {
    if (Customer.TokensPerSecond_ <= 0)
      continue;
    double Burst = std::max(Customer.BurstTokens_, 1.0);
    auto Found = Accounts_.find(Customer.Name_);
    Account Entry = Found != Accounts_.end()
                        ? Found->second
                        : Account{TokenBucket(Customer.TokensPerSecond_, Burst,
                                              Burst * StartShare, Now)};
    Entry.RatePerSecond_ = Customer.TokensPerSecond_;
    Entry.Burst_ = Burst;
    resizeBucket(Entry, Now);
    Next.emplace(Customer.Name_, Entry);
  }
  Accounts_ = std::move(Next);
}

void CustomerBudget::setReachableShare(double Share, TimePoint Now) {
  if (Share == ReachableShare_)
    return;
  ReachableShare_ = Share;
  for (auto &[Name, Entry] : Accounts_)
    resizeBucket(Entry, Now);
}

BudgetDecision CustomerBudget::charge(const std::string &Customer,
                                      double Tokens, TimePoint Now) {
  auto Found = Accounts_.find(Customer);
  if (Found == Accounts_.end())
    return {};
  TokenBucket &Bucket = Found->second.Bucket_;
  SpendingPace &Pace = Found->second.Pace_;
  SharedBucket Shared = sharedBucket(Found->second, Now);
  bool IsPaced = ReachableVms_ > 1 && Pace.applies(Now);
  BudgetDecision Decision;
  Decision.Allowed_ = !IsPaced || Pace.take(Tokens, Shared, Now);
  if (Decision.Allowed_ && !Bucket.take(Tokens, Now)) {
    Decision.Allowed_ = false;
    if (IsPaced)
      Pace.giveBack(Tokens);
  }
  Decision.Balance_ = Bucket.balance(Now);
  if (!Decision.Allowed_) {
    Decision.RetryAfter_ = Bucket.waitFor(Tokens, Now);
    if (IsPaced)
      Decision.RetryAfter_ =
          std::max(Decision.RetryAfter_, Pace.waitFor(Tokens, Shared));
    Pace.recordRefusal(Now);
    return Decision;
  }
  Pace.recordOwn(Tokens, Now);
  Spent_[Customer] += static_cast<std::uint64_t>(Tokens);
  GroupSpent_[Customer] += static_cast<std::int64_t>(Tokens);
  return Decision;
}

void CustomerBudget::refund(const std::string &Customer, double Tokens,
                            TimePoint Now) {
  auto Found = Accounts_.find(Customer);
  if (Found == Accounts_.end())
    return;
  Found->second.Bucket_.returnTokens(Tokens, Now);
  Found->second.Pace_.recordOwn(-Tokens, Now);
  auto &Spent = Spent_[Customer];
  auto Refunded = std::min(Spent, static_cast<std::uint64_t>(Tokens));
  Spent -= Refunded;
  GroupSpent_[Customer] -= static_cast<std::int64_t>(Refunded);
}

void CustomerBudget::applySpending(const std::string &Customer,
                                   std::int64_t Tokens, TimePoint Now) {
  auto Found = Accounts_.find(Customer);
  if (Found == Accounts_.end() || Tokens == 0)
    return;
  Found->second.Pace_.recordOthers(static_cast<double>(Tokens), Now);
  TokenBucket &Bucket = Found->second.Bucket_;
  if (Tokens > 0)
    Bucket.charge(static_cast<double>(Tokens), Now);
  else
    // A peer refunded a request.
    Bucket.returnTokens(static_cast<double>(-Tokens), Now);
}

void CustomerBudget::recordPeerSpending(const std::string &Vm,
                                        const std::string &Incarnation,
                                        const SpentTokens &Spent,
                                        TimePoint Now) {
  auto [It, IsFirstUpdate] = Peers_.try_emplace(Vm);
  PeerBaseline &Baseline = It->second;
  // A restarted process counts its spending from zero.
  if (Baseline.Incarnation_ != Incarnation)
    Baseline.Spent_.clear();
  for (const auto &[Customer, Total] : Spent) {
    if (IsFirstUpdate)
      continue;
    auto NewSpending =
        static_cast<std::int64_t>(Total - Baseline.Spent_[Customer]);
    applySpending(Customer, NewSpending, Now);
    GroupSpent_[Customer] += NewSpending;
  }
  Baseline.Incarnation_ = Incarnation;
  Baseline.Spent_ = Spent;
}

void CustomerBudget::recordRemoteSpending(const std::string &DataCentre,
                                          const std::string &Sender,
                                          const std::string &Incarnation,
                                          const TokenTotals &Totals,
                                          Duration Validity, TimePoint Now) {
  TokenTotals NewSpending = DataCentres_[DataCentre].recordTotals(
      Sender, Incarnation, Totals, Validity, Now);
  for (const auto &[Customer, Tokens] : NewSpending)
    applySpending(Customer, Tokens, Now);
}

TokenBalances CustomerBudget::balances(TimePoint Now) {
  TokenBalances Result;
  for (auto &[Customer, Entry] : Accounts_)
    Result[Customer] = static_cast<std::int64_t>(Entry.Bucket_.balance(Now));
  return Result;
}

void CustomerBudget::adoptBalances(const TokenBalances &Balances,
                                   TimePoint Now) {
  for (const auto &[Customer, Balance] : Balances) {
    auto Found = Accounts_.find(Customer);
    if (Found == Accounts_.end())
      continue;
    TokenBucket &Bucket = Found->second.Bucket_;
    Bucket.charge(Bucket.balance(Now) - static_cast<double>(Balance), Now);
  }
}

void CustomerBudget::grantInitialBalances(const BudgetAllowance &Allowance,
                                          TimePoint Now) {
  // The other half covers what VMs spend before they receive each other's
  // updates.
  constexpr double GrantedShare = 0.5;
  for (auto &[Customer, Entry] : Accounts_) {
    double InWindow =
        Entry.RatePerSecond_ * toSeconds(Allowance.Window_) + Entry.Burst_;
    Entry.Bucket_.returnTokens(
        GrantedShare * (Allowance.Overage_ * InWindow + Allowance.SlackTokens_),
        Now);
  }
}

} // namespace anvil
