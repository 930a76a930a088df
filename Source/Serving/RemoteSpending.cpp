#include "Serving/RemoteSpending.h"

#include <algorithm>

namespace anvil {

/// A customer's tokens; zero if it is not in the totals.
static std::int64_t tokensOf(const TokenTotals &Totals,
                             const std::string &Customer) {
  auto Found = Totals.find(Customer);
  return Found == Totals.end() ? 0 : Found->second;
}

std::int64_t RemoteSpending::highestLevel(const std::string &Customer) const {
  std::int64_t Highest =
      tokensOf(Senders_.begin()->second.ChargeLevel_, Customer);
  for (const auto &[Name, State] : Senders_)
    Highest = std::max(Highest, tokensOf(State.ChargeLevel_, Customer));
  return Highest;
}

void RemoteSpending::dropExpired(TimePoint Now) {
  auto Dropped = std::erase_if(
      Senders_, [&](const auto &Entry) { return Entry.second.Until_ < Now; });
  if (Dropped == 0 || Senders_.empty())
    return;
  // The remaining senders continue from what was charged.
  for (const auto &[Customer, Tokens] : Charged_) {
    std::int64_t Missing = Tokens - highestLevel(Customer);
    for (auto &[Name, State] : Senders_)
      State.ChargeLevel_[Customer] += Missing;
  }
}

TokenTotals RemoteSpending::recordTotals(const std::string &Sender,
                                         const std::string &Incarnation,
                                         const TokenTotals &Totals,
                                         Duration Validity, TimePoint Now) {
  dropExpired(Now);
  auto [It, IsNew] = Senders_.try_emplace(Sender);
  SenderState &State = It->second;
  if (IsNew || State.Incarnation_ != Incarnation)
    State = {Incarnation, Totals, Charged_, {}};
  State.Until_ = Now + Validity;
  TokenTotals NewSpending;
  for (const auto &[Customer, Total] : Totals) {
    State.ChargeLevel_[Customer] += Total - tokensOf(State.Totals_, Customer);
    std::int64_t &Charged = Charged_[Customer];
    std::int64_t Highest = highestLevel(Customer);
    if (Highest != Charged)
      NewSpending[Customer] = Highest - Charged;
    Charged = Highest;
  }
  State.Totals_ = Totals;
  return NewSpending;
}

} // namespace anvil
