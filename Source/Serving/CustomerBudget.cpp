#include "Serving/CustomerBudget.h"

#include <algorithm>

namespace anvil {

void CustomerBudget::reshape(Account &Held, TimePoint Now) const {
  Held.Bucket_.reshape(Held.RatePerSecond_ * Reach_, Held.Burst_ * Reach_, Now);
}

void CustomerBudget::setPlan(const ServingPlan &Plan, double StartShare,
                             TimePoint Now) {
  std::map<std::string, Account> Kept;
  for (const CustomerPlan &Customer : Plan.customers()) {
    if (Customer.TokensPerSecond_ <= 0)
      continue;
    double Burst = std::max(Customer.BurstTokens_, 1.0);
    auto Found = Accounts_.find(Customer.Name_);
    Account Held = Found != Accounts_.end()
                       ? Found->second
                       : Account{TokenBucket(Customer.TokensPerSecond_, Burst,
                                             Burst * StartShare, Now)};
    Held.RatePerSecond_ = Customer.TokensPerSecond_;
    Held.Burst_ = Burst;
    reshape(Held, Now);
    Kept.emplace(Customer.Name_, Held);
  }
  Accounts_ = std::move(Kept);
}

void CustomerBudget::setReach(double Part, TimePoint Now) {
  if (Part == Reach_)
    return;
  Reach_ = Part;
  for (auto &[Name, Held] : Accounts_)
    reshape(Held, Now);
}

BudgetVerdict CustomerBudget::charge(const std::string &Customer, double Tokens,
                                     TimePoint Now) {
  auto Found = Accounts_.find(Customer);
  if (Found == Accounts_.end())
    return {};
  TokenBucket &Bucket = Found->second.Bucket_;
  BudgetVerdict Verdict;
  Verdict.Allowed_ = Bucket.take(Tokens, Now);
  Verdict.Balance_ = Bucket.balance(Now);
  if (!Verdict.Allowed_) {
    Verdict.RetryAfter_ = Bucket.waitFor(Tokens, Now);
    return Verdict;
  }
  Spent_[Customer] += static_cast<std::uint64_t>(Tokens);
  GroupSpent_[Customer] += static_cast<std::int64_t>(Tokens);
  return Verdict;
}

void CustomerBudget::refund(const std::string &Customer, double Tokens,
                            TimePoint Now) {
  auto Found = Accounts_.find(Customer);
  if (Found == Accounts_.end())
    return;
  Found->second.Bucket_.putBack(Tokens, Now);
  auto &Spent = Spent_[Customer];
  auto Back = std::min(Spent, static_cast<std::uint64_t>(Tokens));
  Spent -= Back;
  GroupSpent_[Customer] -= static_cast<std::int64_t>(Back);
}

void CustomerBudget::chargeSpent(const std::string &Customer,
                                 std::int64_t Tokens, TimePoint Now) {
  auto Account = Accounts_.find(Customer);
  if (Account == Accounts_.end() || Tokens == 0)
    return;
  TokenBucket &Bucket = Account->second.Bucket_;
  if (Tokens > 0)
    Bucket.charge(static_cast<double>(Tokens), Now);
  else
    // A peer refunded a request.
    Bucket.putBack(static_cast<double>(-Tokens), Now);
}

void CustomerBudget::notePeer(const std::string &Vm,
                              const std::string &Incarnation,
                              const SpentTokens &Spent, TimePoint Now) {
  auto [Place, IsFirstNews] = Peers_.try_emplace(Vm);
  PeerMark &Mark = Place->second;
  // A restarted process counts its spending from zero.
  if (Mark.Incarnation_ != Incarnation)
    Mark.Spent_.clear();
  for (const auto &[Customer, Total] : Spent) {
    if (IsFirstNews)
      continue;
    auto New = static_cast<std::int64_t>(Total - Mark.Spent_[Customer]);
    chargeSpent(Customer, New, Now);
    GroupSpent_[Customer] += New;
  }
  Mark.Incarnation_ = Incarnation;
  Mark.Spent_ = Spent;
}

void CustomerBudget::noteDataCentre(const std::string &DataCentre,
                                    const std::string &Teller,
                                    const std::string &Incarnation,
                                    const TokenTotals &Totals, Duration Time,
                                    TimePoint Now) {
  TokenTotals New =
      DataCentres_[DataCentre].note(Teller, Incarnation, Totals, Time, Now);
  for (const auto &[Customer, Tokens] : New)
    chargeSpent(Customer, Tokens, Now);
}

TokenBalances CustomerBudget::balances(TimePoint Now) {
  TokenBalances All;
  for (auto &[Customer, Held] : Accounts_)
    All[Customer] = static_cast<std::int64_t>(Held.Bucket_.balance(Now));
  return All;
}

void CustomerBudget::takeOver(const TokenBalances &Balances, TimePoint Now) {
  for (const auto &[Customer, Balance] : Balances) {
    auto Found = Accounts_.find(Customer);
    if (Found == Accounts_.end())
      continue;
    TokenBucket &Bucket = Found->second.Bucket_;
    Bucket.charge(Bucket.balance(Now) - static_cast<double>(Balance), Now);
  }
}

void CustomerBudget::grantStart(const BudgetAllowance &Allowance,
                                TimePoint Now) {
  // The other half covers what VMs spend before they receive each other's
  // updates.
  constexpr double GrantedPart = 0.5;
  for (auto &[Customer, Held] : Accounts_) {
    double InWindow =
        Held.RatePerSecond_ * toSeconds(Allowance.Window_) + Held.Burst_;
    Held.Bucket_.putBack(
        GrantedPart * (Allowance.Overage_ * InWindow + Allowance.SlackTokens_),
        Now);
  }
}

} // namespace anvil
