#include "Admission/QuotaShare.h"
#include "Membership/MemberMessages.h"
#include "Membership/MemberTable.h"
#include "Membership/Rendezvous.h"
#include "Peer/FrameCodec.h"
#include "Peer/PeerMessage.h"
#include "Placement/TargetOwner.h"

#include <benchmark/benchmark.h>

using namespace anvil;
using namespace std::chrono_literals;

static void spendTokens(benchmark::State &State) {
  TimePoint Now(100s);
  QuotaShare Share({}, Now);
  Share.setLimits(1e9, 1e9, Now);
  Share.setPart(1, Now);
  Share.setLease(Now, Now + 24h, Now);
  Share.creditBurst(1, Now);
  for (auto Step : State) {
    Now += 10us;
    benchmark::DoNotOptimize(Share.spend(64, Now));
    Share.refund(32, Now);
  }
}
BENCHMARK(spendTokens);

/// Processes one heartbeat from each of N members and one tick of the table.
static void heartbeatRound(benchmark::State &State) {
  TimePoint Now(100s);
  MemberTable Table("vm", "life", {}, Now);
  std::uint64_t Sequence = 0;
  for (auto Step : State) {
    Now += 1s;
    ++Sequence;
    for (std::int64_t Index = 0; Index < State.range(0); ++Index) {
      ReceivedHeartbeat Received;
      Received.Name_ = "vm-" + std::to_string(Index);
      Received.DataCentre_ = "central";
      Received.Incarnation_ = "life-" + std::to_string(Index);
      Received.Sequence_ = Sequence;
      Received.Stamp_ = Now.time_since_epoch().count();
      benchmark::DoNotOptimize(Table.applyHeartbeat(Received, Now));
    }
    Table.tick(Now);
  }
}
BENCHMARK(heartbeatRound)->Arg(8)->Arg(37)->Arg(89);

/// Encodes and decodes one heartbeat with its frame.
static void heartbeatCodec(benchmark::State &State) {
  HeartbeatMessage Message{};
  Message.DataCentre_ = "central-1";
  Message.Address_ = "10.200.100.200:8082";
  std::size_t Bytes = 0;
  for (auto Step : State) {
    std::string Frame = encodeFrame(
        {FrameKind::Notice, HeartbeatMessage::Type, 0, packMessage(Message)});
    Bytes = Frame.size();
    auto Decoded = extractFrame(Frame);
    benchmark::DoNotOptimize(
        unpackMessage<HeartbeatMessage>(valueOf(Decoded)->Payload_));
  }
  State.counters["bytes"] = static_cast<double>(Bytes);
}
BENCHMARK(heartbeatCodec);

static QueuedRequest makeQueuedRequest(std::uint64_t Id, std::int64_t Adapters,
                                       TimePoint Now) {
  QueuedRequest Request;
  Request.Key_ = {"vm-1", "life", Id};
  Request.Customer_ = "customer-" + std::to_string(Id % 5);
  Request.Adapter_ = {"a" + std::to_string(Id % Adapters), "1"};
  Request.Tokens_ = 64;
  Request.Arrived_ = Now;
  Request.Deadline_ = Now + 1h;
  return Request;
}

/// Grants one permit by an owner with N other requests in its queue.
static void grantPermit(benchmark::State &State) {
  TimePoint Now(100s);
  TargetOwner Owner(TargetOwnerOptions{1, 8, {100000, 100000}, {}, {}}, {},
                    Now);
  EngineStatus Status;
  Status.Incarnation_ = "1";
  for (int Index = 0; Index < 8; ++Index)
    Status.Resident_.push_back({"a" + std::to_string(Index) + "@1", 0});
  Owner.engineStatus(Status, Now, Now);
  std::uint64_t Id = 0;
  for (std::int64_t Index = 0; Index <= State.range(0); ++Index)
    Owner.request(makeQueuedRequest(++Id, 8, Now), Now);
  auto Granted = Owner.advance(Now);
  for (auto Step : State) {
    Now += 1ms;
    Owner.request(makeQueuedRequest(++Id, 8, Now), Now);
    for (const OwnerAction &Action : Granted)
      if (auto *Grant = std::get_if<GrantAction>(&Action))
        Owner.release(Grant->Request_.Key_, PermitOutcome::Finished, Now);
    Granted = Owner.advance(Now);
  }
}
BENCHMARK(grantPermit)->Arg(0)->Arg(10)->Arg(100);

static void rendezvousOfTargets(benchmark::State &State) {
  std::vector<std::string> Vms;
  for (int Index = 0; Index < 37; ++Index)
    Vms.push_back("vm-" + std::to_string(Index));
  std::vector<std::string> Targets;
  for (std::int64_t Index = 0; Index < State.range(0); ++Index)
    Targets.push_back("engine-" + std::to_string(Index));
  for (auto Step : State)
    for (const std::string &Target : Targets)
      benchmark::DoNotOptimize(rendezvousOrder(Target, Vms));
}
BENCHMARK(rendezvousOfTargets)->Arg(21)->Arg(263);
