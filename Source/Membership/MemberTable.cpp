#include "Membership/MemberTable.h"

#include "Kernel/EnumNames.h"

#include "Kernel/Invariant.h"

#include <set>

namespace anvil {

std::string_view memberStateName(MemberState State) {
  return enumName(State, MemberStateNames);
}

MemberTable::MemberTable(std::string Self, std::string Incarnation,
                         MemberLimits Limits, TimePoint Now)
    : Self_(std::move(Self)), Incarnation_(std::move(Incarnation)),
      Limits_(Limits), LastTick_(Now) {}

const MemberTable::Entry *MemberTable::find(const std::string &Name) const {
  auto Found = Entries_.find(Name);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

void MemberTable::adoptList(const std::vector<Listed> &List, TimePoint Now) {
  std::set<std::string> Names;
  for (const Listed &Vm : List) {
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
    if (!mayForget(Known, Now)) {
      ++Next;
      continue;
    }
    Next = Entries_.erase(Next);
    ++Version_;
  }
}

std::optional<TimePoint> MemberTable::sentAfter(const HeartbeatSeen &Given,
                                                TimePoint Now) const {
  if (Given.EchoStamp_ <= 0 || Given.EchoHeld_ < 0 ||
      Given.EchoIncarnation_ != Incarnation_)
    return std::nullopt;
  // The sender's clock may run fast, so a little of what it held is dropped.
  Duration Held(static_cast<std::int64_t>(static_cast<double>(Given.EchoHeld_) *
                                          (1 - Limits_.Drift_)));
  TimePoint Sent = TimePoint(Duration(Given.EchoStamp_)) + Held;
  if (Sent > Now)
    return std::nullopt;
  return Sent;
}

void MemberTable::rememberStamp(Entry &Known, const HeartbeatSeen &Given,
                                TimePoint Now) {
  Known.PeerStamp_ = Given.Stamp_;
  Known.PeerIncarnation_ = Given.Incarnation_;
  Known.PeerStampAt_ = Now;
}

bool MemberTable::isLater(const Entry &Known, const HeartbeatVerdict &Verdict) {
  return Verdict.SentAfter_ && Known.AliveAt_ &&
         *Verdict.SentAfter_ > *Known.AliveAt_;
}

bool MemberTable::mayForget(const Entry &Known, TimePoint Now) const {
  return !Known.AliveAt_ || Now - *Known.AliveAt_ > Limits_.ForgetAfter_;
}

HeartbeatVerdict MemberTable::heartbeat(const HeartbeatSeen &Given,
                                        TimePoint Now) {
  HeartbeatVerdict Verdict;
  if (Given.Name_ == Self_)
    return Verdict;
  Verdict.SentAfter_ = sentAfter(Given, Now);
  Entry &Known = Entries_[Given.Name_];
  bool IsFirst = Known.Incarnation_.empty();
  bool IsSame = Known.Incarnation_ == Given.Incarnation_;
  if (IsSame && Given.Sequence_ <= Known.Sequence_)
    return Verdict;
  // Another process is the newer one only if it certainly spoke later. Until
  // then its stamp is returned, so that its next heartbeat can prove it.
  if (!IsSame && !IsFirst && !isLater(Known, Verdict)) {
    if (!Verdict.SentAfter_)
      rememberStamp(Known, Given, Now);
    return Verdict;
  }
  Verdict.Accepted_ = true;
  Verdict.NewIncarnation_ = !IsSame;
  if (!IsSame || Known.Leaving_ != Given.Leaving_)
    ++Version_;
  // A process that said goodbye doesn't come back.
  Known.Leaving_ = Given.Leaving_ || (IsSame && Known.Leaving_);
  Known.Incarnation_ = Given.Incarnation_;
  Known.Sequence_ = Given.Sequence_;
  Known.DataCentre_ = Given.DataCentre_;
  rememberStamp(Known, Given, Now);
  std::optional<TimePoint> Proven = Verdict.SentAfter_;
  if (IsFirst && !Proven)
    Proven = Now;
  if (Proven && (!Known.AliveAt_ || *Proven > *Known.AliveAt_))
    Known.AliveAt_ = Proven;
  judge(Known, Now);
  return Verdict;
}

bool MemberTable::goodbye(const std::string &Name,
                          const std::string &Incarnation) {
  auto Found = Entries_.find(Name);
  if (Found == Entries_.end() || Found->second.Incarnation_ != Incarnation)
    return false;
  Found->second.Leaving_ = true;
  ++Version_;
  return true;
}

void MemberTable::judge(Entry &Known, TimePoint Now) {
  MemberState State = MemberState::Unheard;
  if (Known.AliveAt_) {
    checkInvariant(*Known.AliveAt_ <= Now, "a member was heard in the future");
    Duration Silence = Now - *Known.AliveAt_;
    State = MemberState::Alive;
    if (Silence > Limits_.SuspectAfter_)
      State = MemberState::Suspect;
    if (Silence > Limits_.GoneAfter_)
      State = MemberState::Gone;
  }
  if (State != Known.State_)
    ++Version_;
  Known.State_ = State;
}

std::optional<Duration> MemberTable::tick(TimePoint Now) {
  checkInvariant(Now >= LastTick_, "the boot clock went back");
  Duration Gap = Now - LastTick_;
  LastTick_ = Now;
  bool Paused = Gap > Limits_.PauseBound_;
  for (auto &[Name, Known] : Entries_) {
    bool WasAlive = Known.isAlive();
    if (Paused && WasAlive)
      Known.AliveAt_ = std::min(*Known.AliveAt_ + Gap, Now);
    judge(Known, Now);
  }
  if (!Paused)
    return std::nullopt;
  return Gap;
}

EchoOf MemberTable::echoFor(const std::string &Name, TimePoint Now) const {
  const Entry *Known = find(Name);
  if (!Known || Known->PeerStamp_ == 0)
    return {};
  return {Known->PeerStamp_, Known->PeerIncarnation_,
          (Now - Known->PeerStampAt_).count()};
}

} // namespace anvil
