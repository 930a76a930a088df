#include "Loading/LoadDemand.h"

#include <algorithm>

namespace anvil {

/// By how much a load is postponed for each rank, and advanced for each further
/// waiting request up to a maximum number.
static constexpr Duration RankDelay = std::chrono::milliseconds(50);
static constexpr Duration WaitingAdvance = std::chrono::milliseconds(100);
static constexpr int MaxFurtherWaiting = 8;

/// The time after which a load that requests wait for precedes all newer ones.
static constexpr Duration MaxPassedOver = std::chrono::seconds(2);

LoadPriority loadPriority(const LoadDemand &Demand, TimePoint FirstAt,
                          Duration Load, bool PrefersOverdue, TimePoint Now) {
  using Group = LoadPriority::Group;
  if (Demand.Waiting_ <= 0)
    return {Group::Unneeded, FirstAt};
  if (PrefersOverdue && FirstAt + MaxPassedOver <= Now)
    return {Group::Overdue, FirstAt};
  Duration Shift =
      RankDelay * std::clamp(Demand.Rank_, 0, LoadDemand::LeastUrgentRank) -
      WaitingAdvance * std::min(Demand.Waiting_ - 1, MaxFurtherWaiting);
  bool IsInTime = Demand.AimAt_ >= Now + Load;
  return IsInTime ? LoadPriority{Group::InTime, Demand.AimAt_ + Shift}
                  : LoadPriority{Group::Late, FirstAt + Shift};
}

void WaitingRequests::add(const std::string &Adapter, int Rank,
                          TimePoint AimAt) {
  ++Waiting_[Adapter][{AimAt, Rank}];
}

void WaitingRequests::remove(const std::string &Adapter, int Rank,
                             TimePoint AimAt) {
  auto Found = Waiting_.find(Adapter);
  if (Found == Waiting_.end())
    return;
  auto Entry = Found->second.find({AimAt, Rank});
  if (Entry != Found->second.end() && --Entry->second <= 0)
    Found->second.erase(Entry);
  if (Found->second.empty())
    Waiting_.erase(Found);
}

LoadDemand WaitingRequests::demandFor(const std::string &Adapter) const {
  LoadDemand Sum;
  auto Found = Waiting_.find(Adapter);
  if (Found == Waiting_.end())
    return Sum;
  Sum.AimAt_ = Found->second.begin()->first.first;
  for (const auto &[Key, Count] : Found->second) {
    Sum.Rank_ = std::min(Sum.Rank_, Key.second);
    Sum.Waiting_ += Count;
  }
  return Sum;
}

} // namespace anvil
