#include "Admission/KeyFreshness.h"
#include "Config/ConfigFollower.h"
#include "Config/ConfigLog.h"
#include "Config/FreshnessEvidence.h"
#include "Config/OutageQuorum.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace anvil;
using namespace std::chrono_literals;

/// VMs of one data centre whose configuration spreads through a network that is
/// cut, delays and loses. All share a clock here; the drift of clocks is the
/// heartbeats' matter.
struct SpreadModel {
  struct Vm {
    explicit Vm(TimePoint Now) : Follower_(3s, Now) {}
    ConfigFollower Follower_;
    FreshnessEvidence Evidence_;
    bool HasPlatform_ = true;
    bool WasCurrent_ = false;
    int Group_ = 0;
  };
  struct Heartbeat {
    int From_;
    std::uint64_t Life_;
    std::uint64_t Revision_;
    TimePoint SentAt_;
    std::optional<Duration> EvidenceAge_;
    bool MayState_;
  };

  explicit SpreadModel(int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      Vms_.emplace_back(Now_);
      Quorums_.emplace_back();
      Lives_.push_back(0);
    }
  }

  static std::string nameOf(int Index) { return std::to_string(Index); }

  void hold(int Index, std::uint64_t Revision) {
    Vm &Held = Vms_[Index];
    if (Revision <= Held.Follower_.held())
      return;
    Held.Follower_.hold(Revision);
    Held.Evidence_.hold(Revision);
  }

  void poll(int Index) {
    Vm &Reader = Vms_[Index];
    if (!Reader.HasPlatform_) {
      Reader.Follower_.noteNoPlatform();
      return;
    }
    Reader.Follower_.noteHead(Head_);
    Reader.Evidence_.note(Head_, Now_);
    // The object may be slow to come; then only the head is known.
    if (*rc::gen::inRange(0, 4) > 0)
      hold(Index, Head_);
  }

  void publish(int Index) {
    if (!Vms_[Index].HasPlatform_)
      return;
    ++Head_;
    PublishedAt_.push_back(Now_);
    hold(Index, Head_);
  }

  void beat(int Index) {
    Vm &Sender = Vms_[Index];
    Heartbeat Sent{Index,
                   Lives_[Index],
                   Sender.Follower_.held(),
                   Now_,
                   {},
                   Sender.Follower_.hasReadHead() && !Sender.HasPlatform_};
    if (Sender.Evidence_.at())
      Sent.EvidenceAge_ = Now_ - *Sender.Evidence_.at();
    Network_.push_back(Sent);
  }

  void deliver(const Heartbeat &Given, int To) {
    if (Given.From_ == To || Given.Life_ != Lives_[Given.From_])
      return;
    Vm &Receiver = Vms_[To];
    Receiver.Follower_.notePeer(nameOf(Given.From_), Given.Revision_);
    if (Given.EvidenceAge_)
      Receiver.Evidence_.note(Given.Revision_,
                              Given.SentAt_ - *Given.EvidenceAge_);
    std::optional<OutageQuorum::Statement> Said;
    if (Given.MayState_)
      Said = OutageQuorum::Statement{Given.Revision_, Given.SentAt_};
    Quorums_[To].noteVm(nameOf(Given.From_), Said);
  }

  void judge(int Index) {
    std::vector<std::string> Others;
    for (int Other = 0; Other < static_cast<int>(Vms_.size()); ++Other)
      if (Other != Index)
        Others.push_back(nameOf(Other));
    Vm &Judged = Vms_[Index];
    std::uint64_t Held = Judged.Follower_.held();
    std::optional<TimePoint> Self;
    if (!Judged.HasPlatform_ && Judged.Follower_.hasReadHead())
      Self = Now_;
    auto Own = Quorums_[Index].ownDataCentre(Others, Held, Self);
    if (auto At = Quorums_[Index].everywhere(Own, {}, Held))
      Judged.Evidence_.note(Held, *At);
  }

  bool reach(int From, int To) const {
    return Vms_[From].Group_ == Vms_[To].Group_;
  }

  /// A pull from a member that holds more.
  void pull(int Index) {
    for (const std::string &Peer : Vms_[Index].Follower_.peersAhead())
      if (reach(Index, std::stoi(Peer)))
        hold(Index, Vms_[std::stoi(Peer)].Follower_.held());
  }

  void restart(int Index) {
    bool HasPlatform = Vms_[Index].HasPlatform_;
    int Group = Vms_[Index].Group_;
    Vms_[Index] = Vm(Now_);
    Vms_[Index].HasPlatform_ = HasPlatform;
    Vms_[Index].Group_ = Group;
    Quorums_[Index] = OutageQuorum();
    ++Lives_[Index];
  }

  /// One random step at one VM.
  void step() {
    int Index = *rc::gen::inRange(0, static_cast<int>(Vms_.size()));
    std::uint64_t Before = Vms_[Index].Follower_.held();
    bool Restarted = false;
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
      publish(Index);
      break;
    case 1:
      Vms_[Index].HasPlatform_ = *rc::gen::inRange(0, 3) == 0;
      break;
    case 2:
      Vms_[Index].Group_ = *rc::gen::inRange(0, 2);
      break;
    case 3:
      Restarted = *rc::gen::inRange(0, 4) == 0;
      if (Restarted)
        restart(Index);
      break;
    case 4:
      poll(Index);
      break;
    case 5:
      pull(Index);
      break;
    case 6:
    case 7:
      beat(Index);
      break;
    case 8:
    case 9:
      if (!Network_.empty()) {
        Heartbeat Any = *rc::gen::elementOf(Network_);
        if (reach(Any.From_, Index))
          deliver(Any, Index);
      }
      break;
    case 10:
      judge(Index);
      break;
    default:
      Now_ += std::chrono::milliseconds(*rc::gen::inRange(1, 4000));
    }
    RC_ASSERT(Restarted || Vms_[Index].Follower_.held() >= Before);
  }

  void checkAll() {
    for (Vm &Checked : Vms_) {
      std::uint64_t Held = Checked.Follower_.held();
      bool IsCurrent = Checked.Follower_.isCurrent(Now_);
      if (IsCurrent && !std::exchange(Checked.WasCurrent_, true))
        RC_ASSERT(Held >= Checked.Follower_.highestKnown());
      // Evidence never says that a revision was in force after the next one
      // was accepted.
      if (Checked.Evidence_.at() && Held < Head_)
        RC_ASSERT(*Checked.Evidence_.at() <= PublishedAt_[Held]);
      checkKey(Checked, Held);
    }
  }

  /// A key that revision N+1 withdraws is not accepted later than the limit.
  void checkKey(const Vm &Checked, std::uint64_t Held) const {
    if (Held >= Head_)
      return;
    KeyFreshness Rule(Grace);
    for (std::int64_t Limit : {0, 10}) {
      Customer Owner;
      Owner.OfflineKeySeconds_ = Limit;
      bool IsOver = Now_ - PublishedAt_[Held] >
                    std::max<Duration>(Grace, std::chrono::seconds(Limit));
      RC_ASSERT(!IsOver ||
                !Rule.isBelieved(Owner, Checked.Evidence_.at(), Now_));
    }
  }

  /// All faults end and everyone does its regular work for a few rounds.
  void heal() {
    int Count = static_cast<int>(Vms_.size());
    for (Vm &Healed : Vms_)
      Healed.Group_ = 0;
    Vms_[0].HasPlatform_ = true;
    for (int Round = 0; Round < 3; ++Round) {
      Now_ += 1s;
      Vms_[0].Follower_.noteHead(Head_);
      Vms_[0].Evidence_.note(Head_, Now_);
      hold(0, Head_);
      for (int From = 0; From < Count; ++From) {
        beat(From);
        for (int To = 0; To < Count; ++To)
          deliver(Heartbeat(Network_.back()), To);
      }
      for (int Index = 0; Index < Count; ++Index)
        pull(Index);
    }
  }

  static constexpr Duration Grace = 5s;
  TimePoint Now_{100s};
  std::uint64_t Head_ = 0;
  /// When each revision was accepted, from revision one on.
  std::vector<TimePoint> PublishedAt_;
  std::vector<Vm> Vms_;
  std::vector<OutageQuorum> Quorums_;
  std::vector<std::uint64_t> Lives_;
  std::vector<Heartbeat> Network_;
};

TEST_CASE("the configuration spreads through cuts, losses and restarts") {
  rc::prop("never back, never current on less, never a key beyond its limit",
           [] {
             SpreadModel Model(*rc::gen::inRange(2, 6));
             int Steps = *rc::gen::inRange(20, 250);
             for (int Step = 0; Step < Steps; ++Step) {
               Model.step();
               Model.checkAll();
             }
             Model.heal();
             Model.checkAll();
             for (SpreadModel::Vm &Healed : Model.Vms_) {
               RC_ASSERT(Healed.Follower_.held() == Model.Head_);
               RC_ASSERT(Healed.Evidence_.at() >= Model.Now_ - 2s);
             }
           });
}

TEST_CASE("a platform that is away for all") {
  OutageQuorum Quorum;
  TimePoint Now(100s);
  Quorum.noteVm("b", OutageQuorum::Statement{4, Now - 1s});
  SECTION("is evidence once every known VM says so") {
    CHECK(Quorum.ownDataCentre({"b"}, 4, Now) == Now - 1s);
    CHECK_FALSE(Quorum.ownDataCentre({"b", "c"}, 4, Now));
    CHECK_FALSE(Quorum.ownDataCentre({"b"}, 4, std::nullopt));
  }
  SECTION("but not about a revision that isn't held here") {
    CHECK_FALSE(Quorum.ownDataCentre({"b"}, 3, Now));
  }
  SECTION("a VM that ended in good order need not speak") {
    Quorum.noteLeft("c", 4);
    CHECK(Quorum.ownDataCentre({"b", "c"}, 4, Now) == Now - 1s);
  }
  SECTION("and every data centre has to say so") {
    CHECK_FALSE(Quorum.everywhere(Now, {"two"}, 4));
    Quorum.noteDataCentre("two", OutageQuorum::Statement{4, Now - 3s});
    CHECK(Quorum.everywhere(Now, {"two"}, 4) == Now - 3s);
  }
}

TEST_CASE("a fresh VM without the platform") {
  ConfigFollower Fresh(3s, TimePoint{});
  Fresh.noteNoPlatform();
  Fresh.notePeer("b", 7);
  SECTION("waits for the highest revision in reach") {
    Fresh.hold(6);
    CHECK_FALSE(Fresh.isCurrent(TimePoint(10s)));
    Fresh.hold(7);
    CHECK(Fresh.isCurrent(TimePoint(10s)));
  }
  SECTION("looks for the head for a while first") {
    Fresh.hold(7);
    CHECK_FALSE(Fresh.isCurrent(TimePoint(2s)));
  }
  SECTION("never serves revision zero") {
    Fresh.forgetPeer("b");
    CHECK_FALSE(Fresh.isCurrent(TimePoint(10s)));
  }
}

TEST_CASE("the log of changes") {
  rc::prop("gives each gap whole or not at all", [](std::uint8_t Most) {
    ConfigLog Log(Most + 1U, 1000);
    std::uint64_t Last = 0;
    for (int Step = 0; Step < 40; ++Step) {
      Last += *rc::gen::inRange(0, 8) == 0 ? 3 : 1;
      Log.append(Last, std::to_string(Last));
      std::uint64_t From = *rc::gen::inRange<std::uint64_t>(0, Last + 1);
      auto Gap = Log.since(From, Last);
      if (!Gap)
        continue;
      RC_ASSERT(Gap->size() == Last - From);
      for (std::size_t Index = 0; Index < Gap->size(); ++Index)
        RC_ASSERT((*Gap)[Index] == std::to_string(From + Index + 1));
    }
    RC_ASSERT(Log.size() <= Most + 1U);
  });
}
