#include "Serving/RelayedSpending.h"

#include <algorithm>

namespace anvil {

/// A customer's tokens; zero if it is not in the totals.
static std::int64_t tokensOf(const TokenTotals &Totals,
                             const std::string &Customer) {
  auto Found = Totals.find(Customer);
  return Found == Totals.end() ? 0 : Found->second;
}

std::int64_t RelayedSpending::highest(const std::string &Customer) const {
  std::int64_t Most = tokensOf(Tellers_.begin()->second.Level_, Customer);
  for (const auto &[Name, Told] : Tellers_)
    Most = std::max(Most, tokensOf(Told.Level_, Customer));
  return Most;
}

void RelayedSpending::dropSilent(TimePoint Now) {
  auto Dropped = std::erase_if(
      Tellers_, [&](const auto &Entry) { return Entry.second.Until_ < Now; });
  if (Dropped == 0 || Tellers_.empty())
    return;
  // The remaining senders continue from what was charged.
  for (const auto &[Customer, Tokens] : Charged_) {
    std::int64_t Missing = Tokens - highest(Customer);
    for (auto &[Name, Told] : Tellers_)
      Told.Level_[Customer] += Missing;
  }
}

TokenTotals RelayedSpending::note(const std::string &Teller,
                                  const std::string &Incarnation,
                                  const TokenTotals &Totals, Duration Time,
                                  TimePoint Now) {
  dropSilent(Now);
  auto [Place, IsNew] = Tellers_.try_emplace(Teller);
  Mark &Told = Place->second;
  if (IsNew || Told.Incarnation_ != Incarnation)
    Told = {Incarnation, Totals, Charged_, {}};
  Told.Until_ = Now + Time;
  TokenTotals New;
  for (const auto &[Customer, Total] : Totals) {
    Told.Level_[Customer] += Total - tokensOf(Told.Totals_, Customer);
    std::int64_t &Charged = Charged_[Customer];
    std::int64_t Highest = highest(Customer);
    if (Highest != Charged)
      New[Customer] = Highest - Charged;
    Charged = Highest;
  }
  Told.Totals_ = Totals;
  return New;
}

} // namespace anvil
