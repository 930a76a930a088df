#include "Membership/MemberTable.h"

#include "Kernel/EnumNames.h"

#include "Kernel/Invariant.h"

#include <set>

namespace anvil {

std::string_view memberStateName(MemberState State) {
  return enumName(State, MemberStateNames);
}

MemberTable::MemberTable(std::string Self, std::string Incarnation,
                         MemberTimeouts Timeouts, TimePoint Now)
    : Self_(std::move(Self)), Incarnation_(std::move(Incarnation)),
      Timeouts_(Timeouts), LastTick_(Now) {}

const MemberTable::Entry *MemberTable::find(const std::string &Name) const {
  auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

void MemberTable::adoptList(const std::vector<ListedVm> &List, TimePoint Now) {
  std::set<std::string> Names;
  for (const ListedVm &Vm : List) {
    if (Vm.Name_ == Self_)
      continue;
    Names.insert(Vm.Name_);
    Entry &Known = Entries_[Vm.Name_];
    if (!Known.Listed_ || Known.ListedLeaving_ != Vm.Leaving_)
      ++Version_;
    Known.Listed_ = true;
    Known.ListedLeaving_ = Vm.Leaving_;
    Known.DataCentre_ = Vm.DataCentre_;
  }
  for (auto Next = Entries_.begin(); Next != Entries_.end();) {
    auto &[Name, Known] = *Next;
    if (Names.contains(Name)) {
      ++Next;
      continue;
    }
    Known.Listed_ = false;
    Known.ListedLeaving_ = false;
    if (!canRemove(Known, Now)) {
      ++Next;
      continue;
    }
    Next = Entries_.erase(Next);
    ++Version_;
  }
}

std::optional<TimePoint>
MemberTable::sentAfter(const ReceivedHeartbeat &Heartbeat,
                       TimePoint Now) const {
  if (Heartbeat.EchoStamp_ <= 0 || Heartbeat.EchoHeld_ < 0 ||
      Heartbeat.EchoIncarnation_ != Incarnation_)
    return std::nullopt;
  // The sender's clock may run fast, so the held time is reduced by the largest
  // drift.
  Duration Held(
      static_cast<std::int64_t>(static_cast<double>(Heartbeat.EchoHeld_) *
                                (1 - Timeouts_.MaxClockDrift_)));
  TimePoint Sent = TimePoint(Duration(Heartbeat.EchoStamp_)) + Held;
  if (Sent > Now)
    return std::nullopt;
  return Sent;
}

void MemberTable::recordStamp(Entry &Known, const ReceivedHeartbeat &Heartbeat,
                              TimePoint Now) {
  Known.PeerStamp_ = Heartbeat.Stamp_;
  Known.PeerIncarnation_ = Heartbeat.Incarnation_;
  Known.PeerStampAt_ = Now;
}

bool MemberTable::isLater(const Entry &Known, const HeartbeatResult &Result) {
  return Result.SentAfter_ && Known.LastAliveAt_ &&
         *Result.SentAfter_ > *Known.LastAliveAt_;
}

bool MemberTable::canRemove(const Entry &Known, TimePoint Now) const {
  return !Known.LastAliveAt_ ||
         Now - *Known.LastAliveAt_ > Timeouts_.RemoveAfter_;
}

HeartbeatResult MemberTable::applyHeartbeat(const ReceivedHeartbeat &Heartbeat,
                                            TimePoint Now) {
  HeartbeatResult Result;
  if (Heartbeat.Name_ == Self_)
    return Result;
  Result.SentAfter_ = sentAfter(Heartbeat, Now);
  Entry &Known = Entries_[Heartbeat.Name_];
  bool IsFirst = Known.Incarnation_.empty();
  bool IsSame = Known.Incarnation_ == Heartbeat.Incarnation_;
  if (IsSame && Heartbeat.Sequence_ <= Known.Sequence_)
    return Result;
  // Another process replaces the known one only if its heartbeat was certainly
  // sent later. Until then its stamp is echoed, so that its next heartbeat can
  // prove it.
  if (!IsSame && !IsFirst && !isLater(Known, Result)) {
    if (!Result.SentAfter_)
      recordStamp(Known, Heartbeat, Now);
    return Result;
  }
  Result.Accepted_ = true;
  Result.NewIncarnation_ = !IsSame;
  if (!IsSame || Known.Leaving_ != Heartbeat.Leaving_)
    ++Version_;
  // A process that said goodbye stays leaving.
  Known.Leaving_ = Heartbeat.Leaving_ || (IsSame && Known.Leaving_);
  Known.Incarnation_ = Heartbeat.Incarnation_;
  Known.Sequence_ = Heartbeat.Sequence_;
  Known.DataCentre_ = Heartbeat.DataCentre_;
  recordStamp(Known, Heartbeat, Now);
  std::optional<TimePoint> AliveAt = Result.SentAfter_;
  if (IsFirst && !AliveAt)
    AliveAt = Now;
  if (AliveAt && (!Known.LastAliveAt_ || *AliveAt > *Known.LastAliveAt_))
    Known.LastAliveAt_ = AliveAt;
  updateState(Known, Now);
  return Result;
}

bool MemberTable::recordGoodbye(const std::string &Name,
                                const std::string &Incarnation) {
  auto Found = Entries_.find(Name);
  if (Found == Entries_.end() || Found->second.Incarnation_ != Incarnation)
    return false;
  Found->second.Leaving_ = true;
  ++Version_;
  return true;
}

void MemberTable::updateState(Entry &Known, TimePoint Now) {
  MemberState State = MemberState::Unknown;
  if (Known.LastAliveAt_) {
    checkInvariant(*Known.LastAliveAt_ <= Now,
                   "the last contact with a member is in the future");
    Duration SinceAlive = Now - *Known.LastAliveAt_;
    State = MemberState::Alive;
    if (SinceAlive > Timeouts_.SuspectAfter_)
      State = MemberState::Suspect;
    if (SinceAlive > Timeouts_.UnreachableAfter_)
      State = MemberState::Unreachable;
  }
  if (State != Known.State_)
    ++Version_;
  Known.State_ = State;
}

std::optional<Duration> MemberTable::tick(TimePoint Now) {
  checkInvariant(Now >= LastTick_, "the boot clock went backwards");
  Duration Gap = Now - LastTick_;
  LastTick_ = Now;
  bool Paused = Gap > Timeouts_.PauseThreshold_;
  for (auto &[Name, Known] : Entries_) {
    bool WasAlive = Known.isAlive();
    if (Paused && WasAlive)
      Known.LastAliveAt_ = std::min(*Known.LastAliveAt_ + Gap, Now);
    updateState(Known, Now);
  }
  if (!Paused)
    return std::nullopt;
  return Gap;
}

HeartbeatEcho MemberTable::echoFor(const std::string &Name,
                                   TimePoint Now) const {
  const Entry *Known = find(Name);
  if (!Known || Known->PeerStamp_ == 0)
    return {};
  return {Known->PeerStamp_, Known->PeerIncarnation_,
          (Now - Known->PeerStampAt_).count()};
}

} // namespace anvil
