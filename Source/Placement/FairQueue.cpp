#include "Placement/FairQueue.h"

#include <algorithm>

namespace anvil {

/// The lower bound for weights, so that no customer's share is zero.
static constexpr double MinWeight = 0.001;

FairQueue::FairQueue(QueueLimits Limits, QueueOrder Order)
    : Limits_(Limits), Order_(Order) {}

FairQueue::AccountKey FairQueue::accountOf(const QueuedRequest &Request) {
  return {Request.Priority_, Request.Customer_};
}

bool FairQueue::push(QueuedRequest Request) {
  if (Items_.size() >= Limits_.Total_ ||
      PerCustomer_[Request.Customer_] >= Limits_.PerCustomer_)
    return false;
  checkInvariant(Keys_.insert(Request.Key_).second,
                 "a request was queued twice");
  ++PerCustomer_[Request.Customer_];
  ++Accounts_[accountOf(Request)].Waiting_;
  Items_.push_back(std::move(Request));
  return true;
}

QueuedRequest FairQueue::remove(Items::iterator Chosen) {
  QueuedRequest Removed = std::move(*Chosen);
  Items_.erase(Chosen);
  Keys_.erase(Removed.Key_);
  if (--PerCustomer_[Removed.Customer_] == 0)
    PerCustomer_.erase(Removed.Customer_);
  auto Found = Accounts_.find(accountOf(Removed));
  // A customer without waiting requests accumulates no deficit.
  if (--Found->second.Waiting_ == 0)
    Accounts_.erase(Found);
  return Removed;
}

FairQueue::Items::iterator
FairQueue::chooseByDeficit(const std::vector<Items::iterator> &Heads) {
  // Credits every account with the same number of rounds: the fewest after
  // which one head can be served. This is deficit round robin without idle
  // rounds.
  Items::iterator Best = Heads.front();
  double MinRounds = 0;
  const Account *BestAccount = nullptr;
  for (Items::iterator Head : Heads) {
    const Account &CustomerAccount = Accounts_[accountOf(*Head)];
    double Rounds = std::max(0.0, Head->Tokens_ - CustomerAccount.Deficit_) /
                    std::max(Head->Weight_, MinWeight);
    bool IsBetter = !BestAccount || Rounds < MinRounds ||
                    (Rounds == MinRounds &&
                     CustomerAccount.ServedAt_ < BestAccount->ServedAt_);
    if (!IsBetter)
      continue;
    Best = Head;
    MinRounds = Rounds;
    BestAccount = &CustomerAccount;
  }
  for (Items::iterator Head : Heads)
    Accounts_[accountOf(*Head)].Deficit_ +=
        MinRounds * std::max(Head->Weight_, MinWeight);
  return Best;
}

FairQueue::Items::iterator FairQueue::choose(TimePoint Now,
                                             const Predicate &IsEligible) {
  std::vector<Items::iterator> Heads;
  std::set<std::string> SeenCustomers;
  Items::iterator Aged = Items_.end();
  for (auto Item = Items_.begin(); Item != Items_.end(); ++Item) {
    if (!IsEligible(*Item))
      continue;
    if (Order_ == QueueOrder::FirstCome)
      return Item;
    bool IsOlder = Aged == Items_.end() || Item->Arrived_ + Item->Ageing_ <
                                               Aged->Arrived_ + Aged->Ageing_;
    if (Item->isAged(Now) && IsOlder)
      Aged = Item;
    if (!Heads.empty() && Item->Priority_ < Heads.front()->Priority_)
      continue;
    if (!Heads.empty() && Item->Priority_ > Heads.front()->Priority_) {
      Heads.clear();
      SeenCustomers.clear();
    }
    if (SeenCustomers.insert(Item->Customer_).second)
      Heads.push_back(Item);
  }
  if (Aged != Items_.end() || Heads.empty())
    return Aged;
  return chooseByDeficit(Heads);
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint Now,
                                            const Predicate &IsEligible) {
  Items::iterator Chosen = choose(Now, IsEligible);
  if (Chosen == Items_.end())
    return std::nullopt;
  Account &CustomerAccount = Accounts_[accountOf(*Chosen)];
  CustomerAccount.Deficit_ -= Chosen->Tokens_;
  CustomerAccount.ServedAt_ = ++Served_;
  return remove(Chosen);
}

std::vector<QueuedRequest> FairQueue::removeIf(const Predicate &ShouldRemove) {
  std::vector<QueuedRequest> Removed;
  for (auto Item = Items_.begin(); Item != Items_.end();) {
    auto Next = std::next(Item);
    if (ShouldRemove(*Item))
      Removed.push_back(remove(Item));
    Item = Next;
  }
  return Removed;
}

void FairQueue::forEach(const Visitor &Visit) const {
  for (const QueuedRequest &Item : Items_)
    Visit(Item);
}

} // namespace anvil
