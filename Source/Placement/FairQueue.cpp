#include "Placement/FairQueue.h"

#include <algorithm>

namespace anvil {

/// The least weight that counts, so that no customer's part is nothing.
static constexpr double LeastWeight = 0.001;

FairQueue::FairQueue(QueueLimits Limits, QueueOrder Order)
    : Limits_(Limits), Order_(Order) {}

FairQueue::AccountKey FairQueue::accountOf(const QueuedRequest &Given) {
  return {Given.Priority_, Given.Customer_};
}

bool FairQueue::push(QueuedRequest Added) {
  if (Items_.size() >= Limits_.Total_ ||
      PerCustomer_[Added.Customer_] >= Limits_.PerCustomer_)
    return false;
  checkInvariant(Keys_.insert(Added.Key_).second, "a request waits twice");
  ++PerCustomer_[Added.Customer_];
  ++Accounts_[accountOf(Added)].Waiting_;
  Items_.push_back(std::move(Added));
  return true;
}

QueuedRequest FairQueue::take(Items::iterator Chosen) {
  QueuedRequest Taken = std::move(*Chosen);
  Items_.erase(Chosen);
  Keys_.erase(Taken.Key_);
  if (--PerCustomer_[Taken.Customer_] == 0)
    PerCustomer_.erase(Taken.Customer_);
  auto Found = Accounts_.find(accountOf(Taken));
  // A customer with nothing waiting saves nothing up.
  if (--Found->second.Waiting_ == 0)
    Accounts_.erase(Found);
  return Taken;
}

FairQueue::Items::iterator
FairQueue::chooseByDeficit(const std::vector<Items::iterator> &Heads) {
  // Every account gets the same number of rounds: the fewest after which one
  // head can be paid for. This is deficit round robin without idle rounds.
  Items::iterator Best = Heads.front();
  double LeastRounds = 0;
  const Account *BestAccount = nullptr;
  for (Items::iterator Head : Heads) {
    const Account &Known = Accounts_[accountOf(*Head)];
    double Rounds = std::max(0.0, Head->Tokens_ - Known.Deficit_) /
                    std::max(Head->Weight_, LeastWeight);
    bool IsBetter =
        !BestAccount || Rounds < LeastRounds ||
        (Rounds == LeastRounds && Known.ServedAt_ < BestAccount->ServedAt_);
    if (!IsBetter)
      continue;
    Best = Head;
    LeastRounds = Rounds;
    BestAccount = &Known;
  }
  for (Items::iterator Head : Heads)
    Accounts_[accountOf(*Head)].Deficit_ +=
        LeastRounds * std::max(Head->Weight_, LeastWeight);
  return Best;
}

FairQueue::Items::iterator FairQueue::choose(TimePoint Now,
                                             const Predicate &MayGo) {
  std::vector<Items::iterator> Heads;
  std::set<std::string> Seen;
  Items::iterator Aged = Items_.end();
  for (auto Item = Items_.begin(); Item != Items_.end(); ++Item) {
    if (!MayGo(*Item))
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
      Seen.clear();
    }
    if (Seen.insert(Item->Customer_).second)
      Heads.push_back(Item);
  }
  if (Aged != Items_.end() || Heads.empty())
    return Aged;
  return chooseByDeficit(Heads);
}

std::optional<QueuedRequest> FairQueue::pop(TimePoint Now,
                                            const Predicate &MayGo) {
  Items::iterator Chosen = choose(Now, MayGo);
  if (Chosen == Items_.end())
    return std::nullopt;
  Account &Known = Accounts_[accountOf(*Chosen)];
  Known.Deficit_ -= Chosen->Tokens_;
  Known.ServedAt_ = ++Served_;
  return take(Chosen);
}

std::vector<QueuedRequest> FairQueue::removeIf(const Predicate &IsOver) {
  std::vector<QueuedRequest> Removed;
  for (auto Item = Items_.begin(); Item != Items_.end();) {
    auto Next = std::next(Item);
    if (IsOver(*Item))
      Removed.push_back(take(Item));
    Item = Next;
  }
  return Removed;
}

void FairQueue::forEach(const Visitor &Visit) const {
  for (const QueuedRequest &Item : Items_)
    Visit(Item);
}

} // namespace anvil
