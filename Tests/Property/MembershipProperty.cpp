#include "Membership/MemberMessages.h"
#include "Membership/MemberTable.h"
#include "Membership/Rendezvous.h"
#include "Peer/PeerMessage.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <set>

using namespace anvil;
using namespace std::chrono_literals;

/// One incarnation of a VM's process, with its own clock.
struct Process {
  std::string Incarnation_;
  MemberTable Table_;
  double Speed_;
  Duration Offset_;
  std::uint64_t Sequence_ = 0;

  TimePoint clock(Duration Now) const {
    return TimePoint(Offset_ + Duration(static_cast<std::int64_t>(
                                   static_cast<double>(Now.count()) * Speed_)));
  }
};

/// Two VMs, a and b, and the messages between them, which may be delayed, lost
/// or duplicated. b's process is replaced now and then.
struct Pair {
  struct Message {
    ReceivedHeartbeat Seen_;
    Duration SentAt_;
    int To_;
    int Process_;
  };

  Pair() { Processes_.push_back(start("a", 7s)); }

  Process start(const std::string &Name, Duration Offset) const {
    static std::uint64_t Number = 0;
    Process Started{Name + std::to_string(++Number),
                    MemberTable(Name, "", {}, TimePoint{}),
                    1 + *rc::gen::inRange(-4, 5) * 0.0001, Offset};
    // A table created at the current time, so that its first tick detects no
    // pause.
    Started.Table_ =
        MemberTable(Name, Started.Incarnation_, {}, Started.clock(Now_));
    return Started;
  }

  Process &b() { return Processes_.back(); }

  void send(int From) {
    Process &Sender = From == 0 ? Processes_[0] : b();
    TimePoint Clock = Sender.clock(Now_);
    HeartbeatEcho Echo = Sender.Table_.echoFor(From == 0 ? "b" : "a", Clock);
    Message Sent;
    Sent.Seen_.Name_ = From == 0 ? "a" : "b";
    Sent.Seen_.DataCentre_ = "one";
    Sent.Seen_.Incarnation_ = Sender.Incarnation_;
    Sent.Seen_.Sequence_ = ++Sender.Sequence_;
    Sent.Seen_.Stamp_ = Clock.time_since_epoch().count();
    Sent.Seen_.EchoStamp_ = Echo.Stamp_;
    Sent.Seen_.EchoIncarnation_ = Echo.Incarnation_;
    Sent.Seen_.EchoHeld_ = Echo.Held_;
    Sent.SentAt_ = Now_;
    Sent.To_ = 1 - From;
    Sent.Process_ = static_cast<int>(Processes_.size()) - 1;
    Network_.push_back(Sent);
  }

  /// Delivers a message to its receiver and checks the result.
  void deliver(const Message &Delivered) {
    Process &Receiver = Delivered.To_ == 0 ? Processes_[0] : b();
    TimePoint Clock = Receiver.clock(Now_);
    auto Result = Receiver.Table_.applyHeartbeat(Delivered.Seen_, Clock);
    if (Result.SentAfter_)
      RC_ASSERT(*Result.SentAfter_ <= Receiver.clock(Delivered.SentAt_) + 1ms);
    if (Delivered.To_ != 0)
      return;
    if (!Result.Accepted_)
      return;
    bool IsSame = Delivered.Process_ == Accepted_;
    RC_ASSERT(!IsSame || Delivered.Seen_.Sequence_ > AcceptedSequence_);
    AcceptedSequence_ = Delivered.Seen_.Sequence_;
    // A process is never replaced by an earlier one that was known before it.
    RC_ASSERT(Delivered.Process_ >= Accepted_);
    Accepted_ = Delivered.Process_;
  }

  void pass(Duration Span) {
    Now_ += Span;
    Processes_[0].Table_.tick(Processes_[0].clock(Now_));
    if (Processes_.size() > 1)
      b().Table_.tick(b().clock(Now_));
  }

  /// A regular exchange without faults.
  void settle(int Rounds) {
    for (int Round = 0; Round < Rounds; ++Round) {
      pass(500ms);
      send(0);
      deliver(Network_.back());
      send(1);
      deliver(Network_.back());
    }
  }

  const MemberTable::Entry *entryOfB() {
    return Processes_[0].Table_.find("b");
  }

  Duration Now_ = 1s;
  /// The process and sequence number of the heartbeat that VM a accepted last.
  int Accepted_ = 0;
  std::uint64_t AcceptedSequence_ = 0;
  std::vector<Process> Processes_;
  std::vector<Message> Network_;
};

TEST_CASE("two VMs that exchange heartbeats over an unreliable network") {
  rc::prop(
      "bound heartbeat ages correctly, never accept an earlier process, and "
      "agree after the network recovers",
      [] {
        Pair Vms;
        Vms.Processes_.push_back(Vms.start("b", 100s));
        Vms.settle(3);
        int Steps = *rc::gen::inRange(5, 60);
        for (int Step = 0; Step < Steps; ++Step) {
          switch (*rc::gen::inRange(0, 7)) {
          case 0:
          case 1:
            Vms.send(*rc::gen::inRange(0, 2));
            break;
          case 2:
          case 3:
            // Any message sent so far: late, out of order or a duplicate.
            Vms.deliver(*rc::gen::elementOf(Vms.Network_));
            break;
          case 4:
            Vms.Processes_.push_back(Vms.start(
                "b", std::chrono::seconds(*rc::gen::inRange(1, 500))));
            break;
          default:
            Vms.pass(std::chrono::milliseconds(*rc::gen::inRange(1, 9000)));
          }
          const auto *Known = Vms.entryOfB();
          RC_ASSERT(Known != nullptr);
        }
        Vms.settle(6);
        RC_ASSERT(Vms.entryOfB()->State_ == MemberState::Alive);
        RC_ASSERT(Vms.entryOfB()->Incarnation_ == Vms.b().Incarnation_);
      });

  rc::prop("consider a dead VM unreachable despite late messages", [] {
    Pair Vms;
    Vms.Processes_.push_back(Vms.start("b", 3s));
    // A process that has received nothing from VM a can't prove when it sent a
    // heartbeat.
    Vms.send(1);
    Vms.deliver(Vms.Network_.back());
    for (int Lost = *rc::gen::inRange(0, 30); Lost > 0; --Lost)
      Vms.send(1);
    Vms.settle(*rc::gen::inRange(0, 10));
    MemberTimeouts Timeouts;
    for (Duration Died = Vms.Now_; Vms.Now_ < Died + 30s;) {
      Vms.pass(std::chrono::milliseconds(*rc::gen::inRange(1, 1500)));
      Vms.deliver(*rc::gen::elementOf(Vms.Network_));
      bool IsOverdue = Vms.Now_ > Died + Timeouts.UnreachableAfter_ + 500ms;
      RC_ASSERT(!IsOverdue || !Vms.entryOfB()->isAlive());
    }
  });

  rc::prop("consider no peer dead after their own pause", [] {
    Pair Vms;
    Vms.Processes_.push_back(Vms.start("b", 3s));
    Vms.settle(5);
    Duration Pause = std::chrono::seconds(*rc::gen::inRange(3, 1000));
    Vms.Now_ += Pause;
    auto Noticed =
        Vms.Processes_[0].Table_.tick(Vms.Processes_[0].clock(Vms.Now_));
    RC_ASSERT(Noticed.has_value());
    RC_ASSERT(Vms.entryOfB()->State_ == MemberState::Alive);
  });
}

TEST_CASE("the platform's list") {
  MemberTable Table("a", "a1", {}, TimePoint{});
  Table.adoptList({{"b", "one", false}}, TimePoint{});
  SECTION("a listed VM without a heartbeat is not alive") {
    Table.tick(TimePoint(1s));
    CHECK_FALSE(Table.find("b")->isAlive());
  }
  SECTION("a VM that sends heartbeats is alive without being listed") {
    Table.applyHeartbeat({"c", "one", "c1", 1, false, 5, 0, "", 0},
                         TimePoint(1s));
    Table.adoptList({{"b", "one", false}}, TimePoint(1s));
    REQUIRE(Table.find("c"));
    CHECK(Table.find("c")->isAlive());
  }
  SECTION("a VM is leaving by the list or by its own goodbye") {
    Table.applyHeartbeat({"b", "one", "b1", 1, false, 5, 0, "", 0},
                         TimePoint(1s));
    CHECK_FALSE(Table.recordGoodbye("b", "b0"));
    CHECK_FALSE(Table.find("b")->isLeaving());
    SECTION("the list") {
      Table.adoptList({{"b", "one", true}}, TimePoint(1s));
    }
    SECTION("its goodbye, which no later heartbeat undoes") {
      CHECK(Table.recordGoodbye("b", "b1"));
      Table.applyHeartbeat({"b", "one", "b1", 2, false, 6, 0, "", 0},
                           TimePoint(1s));
    }
    CHECK(Table.find("b")->isLeaving());
  }
}

TEST_CASE("a heartbeat's size stays within the control budget") {
  HeartbeatMessage Message{"0123456789abcdef",
                           1000000,
                           "bilbao-1",
                           "10.200.100.200:8082",
                           1LL << 45,
                           1LL << 45,
                           "0123456789abcdef",
                           900000,
                           false,
                           false,
                           100000,
                           2500000,
                           true,
                           -1,
                           true};
  auto Bytes = packMessage(Message);
  auto Read = unpackMessage<HeartbeatMessage>(Bytes);
  REQUIRE(isOk(Read));
  CHECK(valueOf(Read).EchoHeld_ == Message.EchoHeld_);
  // 37 VMs in a data centre and 27 data centres, one heartbeat per second.
  std::size_t Frame =
      encodeFrame({FrameKind::Notice, HeartbeatMessage::Type, 0, Bytes}).size();
  std::size_t Member = 36 * Frame;
  std::size_t Representative = Member + 2 * 26 * Frame;
  WARN("heartbeat frame: " << Frame << " bytes; sent per second and VM: "
                           << Member << " bytes, as representative "
                           << Representative << " bytes");
  CHECK(Representative < 23 * 1024);
}
