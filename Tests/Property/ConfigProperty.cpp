#include "Admission/KeyFreshness.h"
#include "Config/ConfigFollower.h"
#include "Config/ConfigLog.h"
#include "Config/FreshnessEvidence.h"
#include "Config/OutageDetector.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace anvil;
using namespace std::chrono_literals;

/// Simulates how a configuration propagates between the VMs of one data centre
/// over a network with partitions, delays and losses. All VMs share a clock;
/// clock drift is handled by the heartbeats.
struct PropagationModel {
  struct Vm {
    explicit Vm(TimePoint Now) : Follower_(3s, Now) {}
    ConfigFollower Follower_;
    FreshnessEvidence Evidence_;
    bool HasPlatform_ = true;
    bool WasCurrent_ = false;
    int Partition_ = 0;
  };
  struct Heartbeat {
    int From_;
    std::uint64_t Incarnation_;
    std::uint64_t Revision_;
    TimePoint SentAt_;
    std::optional<Duration> EvidenceAge_;
    bool CanReportOutage_;
  };

  explicit PropagationModel(int Count) {
    for (int Index = 0; Index < Count; ++Index) {
      Vms_.emplace_back(Now_);
      Detectors_.emplace_back();
      Incarnations_.push_back(0);
    }
  }

  static std::string nameOf(int Index) { return std::to_string(Index); }

  void advanceTo(int Index, std::uint64_t Revision) {
    Vm &Updated = Vms_[Index];
    if (Revision <= Updated.Follower_.heldRevision())
      return;
    Updated.Follower_.advanceTo(Revision);
    Updated.Evidence_.advanceTo(Revision);
  }

  void poll(int Index) {
    Vm &Poller = Vms_[Index];
    if (!Poller.HasPlatform_) {
      Poller.Follower_.recordPlatformFailure();
      return;
    }
    Poller.Follower_.updateHead(Head_);
    Poller.Evidence_.add(Head_, Now_);
    // Loading the object may take longer; then only the head is known.
    if (*rc::gen::inRange(0, 4) > 0)
      advanceTo(Index, Head_);
  }

  void publish(int Index) {
    if (!Vms_[Index].HasPlatform_)
      return;
    ++Head_;
    PublishedAt_.push_back(Now_);
    advanceTo(Index, Head_);
  }

  void sendHeartbeat(int Index) {
    Vm &Sender = Vms_[Index];
    Heartbeat Sent{Index,
                   Incarnations_[Index],
                   Sender.Follower_.heldRevision(),
                   Now_,
                   {},
                   Sender.Follower_.hasReadHead() && !Sender.HasPlatform_};
    if (Sender.Evidence_.confirmedAt())
      Sent.EvidenceAge_ = Now_ - *Sender.Evidence_.confirmedAt();
    SentHeartbeats_.push_back(Sent);
  }

  void deliver(const Heartbeat &Received, int To) {
    if (Received.From_ == To ||
        Received.Incarnation_ != Incarnations_[Received.From_])
      return;
    Vm &Receiver = Vms_[To];
    Receiver.Follower_.updatePeer(nameOf(Received.From_), Received.Revision_);
    if (Received.EvidenceAge_)
      Receiver.Evidence_.add(Received.Revision_,
                             Received.SentAt_ - *Received.EvidenceAge_);
    std::optional<OutageDetector::Statement> Statement;
    if (Received.CanReportOutage_)
      Statement =
          OutageDetector::Statement{Received.Revision_, Received.SentAt_};
    Detectors_[To].updateVm(nameOf(Received.From_), Statement);
  }

  void evaluateOutage(int Index) {
    std::vector<std::string> OtherVms;
    for (int Other = 0; Other < static_cast<int>(Vms_.size()); ++Other)
      if (Other != Index)
        OtherVms.push_back(nameOf(Other));
    Vm &Evaluated = Vms_[Index];
    std::uint64_t Held = Evaluated.Follower_.heldRevision();
    std::optional<TimePoint> Self;
    if (!Evaluated.HasPlatform_ && Evaluated.Follower_.hasReadHead())
      Self = Now_;
    auto Own = Detectors_[Index].ownOutageTime(OtherVms, Held, Self);
    if (auto At = Detectors_[Index].globalOutageTime(Own, {}, Held))
      Evaluated.Evidence_.add(Held, *At);
  }

  bool canReach(int From, int To) const {
    return Vms_[From].Partition_ == Vms_[To].Partition_;
  }

  /// Pulls from the reachable peers with a higher revision.
  void pull(int Index) {
    for (const std::string &Peer : Vms_[Index].Follower_.peersAhead())
      if (canReach(Index, std::stoi(Peer)))
        advanceTo(Index, Vms_[std::stoi(Peer)].Follower_.heldRevision());
  }

  void restart(int Index) {
    bool HasPlatform = Vms_[Index].HasPlatform_;
    int Partition = Vms_[Index].Partition_;
    Vms_[Index] = Vm(Now_);
    Vms_[Index].HasPlatform_ = HasPlatform;
    Vms_[Index].Partition_ = Partition;
    Detectors_[Index] = OutageDetector();
    ++Incarnations_[Index];
  }

  /// Runs one random step on one VM.
  void step() {
    int Index = *rc::gen::inRange(0, static_cast<int>(Vms_.size()));
    std::uint64_t Before = Vms_[Index].Follower_.heldRevision();
    bool Restarted = false;
    switch (*rc::gen::inRange(0, 12)) {
    case 0:
      publish(Index);
      break;
    case 1:
      Vms_[Index].HasPlatform_ = *rc::gen::inRange(0, 3) == 0;
      break;
    case 2:
      Vms_[Index].Partition_ = *rc::gen::inRange(0, 2);
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
      sendHeartbeat(Index);
      break;
    case 8:
    case 9:
      if (!SentHeartbeats_.empty()) {
        Heartbeat Any = *rc::gen::elementOf(SentHeartbeats_);
        if (canReach(Any.From_, Index))
          deliver(Any, Index);
      }
      break;
    case 10:
      evaluateOutage(Index);
      break;
    default:
      Now_ += std::chrono::milliseconds(*rc::gen::inRange(1, 4000));
    }
    RC_ASSERT(Restarted || Vms_[Index].Follower_.heldRevision() >= Before);
  }

  void checkAll() {
    for (Vm &Checked : Vms_) {
      std::uint64_t Held = Checked.Follower_.heldRevision();
      bool IsCurrent = Checked.Follower_.isCurrent(Now_);
      if (IsCurrent && !std::exchange(Checked.WasCurrent_, true))
        RC_ASSERT(Held >= Checked.Follower_.highestKnown());
      // Evidence never states that a revision was in force after the next one
      // had been accepted.
      if (Checked.Evidence_.confirmedAt() && Held < Head_)
        RC_ASSERT(*Checked.Evidence_.confirmedAt() <= PublishedAt_[Held]);
      checkKeyExpiry(Checked, Held);
    }
  }

  /// Checks that a key withdrawn by revision N+1 is not accepted after its
  /// limit.
  void checkKeyExpiry(const Vm &Checked, std::uint64_t Held) const {
    if (Held >= Head_)
      return;
    KeyFreshness Rule(Grace);
    for (std::int64_t Limit : {0, 10}) {
      Customer Owner;
      Owner.OfflineKeySeconds_ = Limit;
      bool IsOver = Now_ - PublishedAt_[Held] >
                    std::max<Duration>(Grace, std::chrono::seconds(Limit));
      RC_ASSERT(!IsOver ||
                !Rule.isAccepted(Owner, Checked.Evidence_.confirmedAt(), Now_));
    }
  }

  /// Ends all faults and runs a few rounds of regular operation on every VM.
  void recoverAll() {
    int Count = static_cast<int>(Vms_.size());
    for (Vm &Recovered : Vms_)
      Recovered.Partition_ = 0;
    Vms_[0].HasPlatform_ = true;
    for (int Round = 0; Round < 3; ++Round) {
      Now_ += 1s;
      Vms_[0].Follower_.updateHead(Head_);
      Vms_[0].Evidence_.add(Head_, Now_);
      advanceTo(0, Head_);
      for (int From = 0; From < Count; ++From) {
        sendHeartbeat(From);
        for (int To = 0; To < Count; ++To)
          deliver(Heartbeat(SentHeartbeats_.back()), To);
      }
      for (int Index = 0; Index < Count; ++Index)
        pull(Index);
    }
  }

  static constexpr Duration Grace = 5s;
  TimePoint Now_{100s};
  std::uint64_t Head_ = 0;
  /// When each revision was accepted, starting with revision one.
  std::vector<TimePoint> PublishedAt_;
  std::vector<Vm> Vms_;
  std::vector<OutageDetector> Detectors_;
  std::vector<std::uint64_t> Incarnations_;
  std::vector<Heartbeat> SentHeartbeats_;
};

TEST_CASE(
    "a configuration propagates despite partitions, losses and restarts") {
  rc::prop(
      "revisions never decrease, a VM becomes current only with the highest "
      "known revision, and withdrawn keys expire",
      [] {
        PropagationModel Model(*rc::gen::inRange(2, 6));
        int Steps = *rc::gen::inRange(20, 250);
        for (int Step = 0; Step < Steps; ++Step) {
          Model.step();
          Model.checkAll();
        }
        Model.recoverAll();
        Model.checkAll();
        for (PropagationModel::Vm &Recovered : Model.Vms_) {
          RC_ASSERT(Recovered.Follower_.heldRevision() == Model.Head_);
          RC_ASSERT(Recovered.Evidence_.confirmedAt() >= Model.Now_ - 2s);
        }
      });
}

TEST_CASE("a platform outage on all VMs") {
  OutageDetector Detector;
  TimePoint Now(100s);
  Detector.updateVm("b", OutageDetector::Statement{4, Now - 1s});
  SECTION("is evidence once every known VM states it") {
    CHECK(Detector.ownOutageTime({"b"}, 4, Now) == Now - 1s);
    CHECK_FALSE(Detector.ownOutageTime({"b", "c"}, 4, Now));
    CHECK_FALSE(Detector.ownOutageTime({"b"}, 4, std::nullopt));
  }
  SECTION("is no evidence for a revision that is not held here") {
    CHECK_FALSE(Detector.ownOutageTime({"b"}, 3, Now));
  }
  SECTION("needs no statement from a VM that shut down in an orderly way") {
    Detector.recordGoodbye("c", 4);
    CHECK(Detector.ownOutageTime({"b", "c"}, 4, Now) == Now - 1s);
  }
  SECTION("must be stated by every data centre") {
    CHECK_FALSE(Detector.globalOutageTime(Now, {"two"}, 4));
    Detector.updateDataCentre("two", OutageDetector::Statement{4, Now - 3s});
    CHECK(Detector.globalOutageTime(Now, {"two"}, 4) == Now - 3s);
  }
}

TEST_CASE("a newly started VM without the platform") {
  ConfigFollower Follower(3s, TimePoint{});
  Follower.recordPlatformFailure();
  Follower.updatePeer("b", 7);
  SECTION("waits for the highest revision of its reachable peers") {
    Follower.advanceTo(6);
    CHECK_FALSE(Follower.isCurrent(TimePoint(10s)));
    Follower.advanceTo(7);
    CHECK(Follower.isCurrent(TimePoint(10s)));
  }
  SECTION("first waits for the head until the timeout") {
    Follower.advanceTo(7);
    CHECK_FALSE(Follower.isCurrent(TimePoint(2s)));
  }
  SECTION("never serves revision zero") {
    Follower.removePeer("b");
    CHECK_FALSE(Follower.isCurrent(TimePoint(10s)));
  }
}

TEST_CASE("the change log") {
  rc::prop("returns all changes of a gap or none", [](std::uint8_t MaxChanges) {
    ConfigLog Log(MaxChanges + 1U, 1000);
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
    RC_ASSERT(Log.size() <= MaxChanges + 1U);
  });
}
