#include "Entry/FleetCodec.h"

#include "Peer/BoundedUnpack.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <climits>
#include <cstdint>

using namespace anvil;
using namespace std::chrono_literals;

/// Encodes a message and decodes it again.
template <class Message> static Message roundTrip(const Message &Given) {
  auto Read = decodeFleetMessage(encodeFleetMessage(Given));
  REQUIRE(isOk(Read));
  return std::get<Message>(valueOf(Read));
}

TEST_CASE("datagrams between VMs", "[fleet][codec]") {
  SECTION("keep their fields in a round trip") {
    SECTION("of a state update") {
      VmStateUpdate Update;
      Update.Vm_ = "b";
      Update.Running_["e1"] = {4, 400, {{"a1", 4}}};
      Update.Spent_ = {{"serenas", 123456789}};
      Update.BudgetCoverage_ = 4s;
      Update.Balances_ = {{"serenas", -50}};
      Update.Crashes_ = {{"digest", "e1", 77}};
      Update.LeavingTargets_ = {{"e2", 5}};
      Update.Limits_ = {{"e4", {6, 1.8, 20ms}}, {"e5", {6, std::nullopt, 0ms}}};
      Update.Brittle_ = {{"plain", {0, 5, 30ms}}};
      Update.Inventories_["e3"] = {
          8, true, {{"a4", {2, 30ms, 70ms, LoadSource::Engine}}}};
      Update.Inventories_["e3"].Queued_ = {{"a5", 400ms}};
      Update.Loads_ = {{7, 3, 2, 1}, 288ms, 30ms};
      Update.Speeds_ = {{"e6", {7, -35}}};
      VmStateUpdate Decoded = roundTrip(Update);
      CHECK(Decoded.Speeds_ == Update.Speeds_);
      CHECK(Decoded.Spent_ == Update.Spent_);
      CHECK(Decoded.BudgetCoverage_ == 4s);
      CHECK(Decoded.Balances_ == Update.Balances_);
      CHECK(Decoded.Crashes_.front().Incarnation_ == 77);
      CHECK(Decoded.LeavingTargets_ == Update.LeavingTargets_);
      CHECK(Decoded.Limits_ == Update.Limits_);
      CHECK(Decoded.Brittle_ == Update.Brittle_);
      CHECK(Decoded.Running_.at("e1").Adapters_.at("a1") == 4);
      const EngineInventory &Inventory = Decoded.Inventories_.at("e3");
      CHECK(Inventory.Adapters_.at("a4").ReadyIn_ == 30ms);
      CHECK(Inventory.Adapters_.at("a4").LoadingFor_ == 70ms);
      CHECK(Inventory.Adapters_.at("a4").Source_ == LoadSource::Engine);
      CHECK(Inventory.Queued_.at("a5") == 400ms);
      CHECK(Decoded.Loads_.Counts_ == Update.Loads_.Counts_);
      CHECK(Decoded.Loads_.StoreLoad_ == 288ms);
      CHECK(Decoded.Loads_.EngineLoad_ == 30ms);
    }
    SECTION("of an adapter request") {
      AdapterRequest Decoded =
          roundTrip(AdapterRequest{"vm-1", "e1", "a1", 2, true, 3, -20ms, 5});
      CHECK(Decoded.WasMissing_);
      CHECK(Decoded.Rank_ == 3);
      CHECK(Decoded.AimIn_ == -20ms);
      CHECK(Decoded.Waiting_ == 5);
    }
    SECTION("of a data centre summary") {
      DataCentreSummary Summary;
      Summary.DataCentre_ = "north";
      Summary.Sender_ = "vm-1";
      Summary.Vms_ = 39;
      Summary.Period_ = 600ms;
      Summary.Spent_ = {{"serenas", -5}};
      Summary.Running_["e1"] = {4, 400, {{"a1", 4}}};
      Summary.Speeds_ = {{"e6", {7, 88}}};
      DataCentreSummary Decoded = roundTrip(Summary);
      CHECK(Decoded.Speeds_ == Summary.Speeds_);
      CHECK(Decoded.Sender_ == "vm-1");
      CHECK(Decoded.Vms_ == 39);
      CHECK(Decoded.Period_ == 600ms);
      CHECK(Decoded.Spent_ == Summary.Spent_);
      CHECK(Decoded.Running_.at("e1").Adapters_.at("a1") == 4);
    }
    SECTION("except for durations that are clamped") {
      VmStateUpdate Update;
      Update.Vm_ = "b";
      Update.Period_ = Duration::max();
      Update.BudgetCoverage_ = Duration::min();
      Update.Limits_ = {{"e4", {6, 1.8, Duration::min()}}};
      VmStateUpdate Read = roundTrip(Update);
      Duration Century = std::chrono::hours(24 * 365 * 100);
      CHECK(Read.Period_ == Century);
      CHECK(Read.BudgetCoverage_ == -Century);
      CHECK(Read.Limits_.at("e4").Age_ == -Century);
      // Adding them to the receiver's time must not overflow.
      FleetView View;
      CHECK(View.apply(Read, TimePoint(1000s)));
      TargetLimits Limits;
      CHECK(
          Limits.updateFromPeer("e4", Read.Limits_.at("e4"), TimePoint(1000s)));
      CHECK(Limits.statedWithin(2s, TimePoint(1001s)).at("e4").Age_ == 1s);
    }
    SECTION("of a notice of a plan read") {
      PlanReadNotice Decoded = roundTrip(PlanReadNotice{
          {"vm-1", "life"},
          77s,
          12,
          7600,
          11,
          {{"version/a1", "2", 12}, {"version/a2", "", 11, true}},
          {},
          3});
      CHECK(Decoded.StoreEra_ == 3);
      CHECK(Decoded.NewestBefore_ == 11);
      REQUIRE(Decoded.Rows_.size() == 2);
      CHECK(Decoded.Rows_.front().Key_ == "version/a1");
      CHECK_FALSE(Decoded.Rows_.front().Deleted_);
      CHECK(Decoded.Rows_.back().Deleted_);
      CHECK(Decoded.Rows_.back().Version_ == 11);
      CHECK(Decoded.Clock_ == VmClock{"vm-1", "life"});
      CHECK(Decoded.At_ == 77s);
      CHECK(Decoded.NewestRow_ == 12);
      CHECK(Decoded.RowsPort_ == 7600);
    }
    SECTION("of a notice of a target list read") {
      RegisteredTarget Target;
      Target.Id_ = "e1";
      Target.Incarnation_ = 5;
      Target.State_ = TargetState::Draining;
      Target.Remaining_ = 900ms;
      Target.ColdRemaining_ = 4s;
      Target.Models_["base"] = {3, {{"a1", 2}}};
      TargetsReadNotice Decoded = roundTrip(TargetsReadNotice{
          {"vm-1", "life"}, 77s, {{Target}, {"e2"}}, 99, 2s, 3});
      CHECK(Decoded.StoreEra_ == 3);
      REQUIRE(Decoded.Changes_.Entries_.size() == 1);
      const RegisteredTarget &Entry = Decoded.Changes_.Entries_.front();
      CHECK(Entry.State_ == TargetState::Draining);
      CHECK(Entry.Remaining_ == Target.Remaining_);
      CHECK(Entry.ColdRemaining_ == Target.ColdRemaining_);
      CHECK(Entry.Models_.at("base").Adapters_.at("a1") == 2);
      CHECK(Decoded.Changes_.Removed_ == std::vector<std::string>{"e2"});
      CHECK(Decoded.Digest_ == 99);
      CHECK(Decoded.LapseRemaining_ == 2s);
    }
    SECTION("of permit requests and replies") {
      TargetPermitRequest Request =
          roundTrip(TargetPermitRequest{"vm-1", 77, {"e1", 5, 1.8, true}});
      CHECK(Request.Vm_ == "vm-1");
      CHECK(Request.Serial_ == 77);
      CHECK(Request.Request_.Target_ == "e1");
      CHECK(Request.Request_.Incarnation_ == 5);
      CHECK(Request.Request_.RatePerSecond_ == 1.8);
      CHECK(Request.Request_.IsCold_);
      TargetPermitReply Given =
          roundTrip(TargetPermitReply{77, {false, 300ms}});
      CHECK(Given.Serial_ == 77);
      CHECK_FALSE(Given.Decision_.Granted_);
      CHECK(Given.Decision_.RetryIn_ == 300ms);
    }
    SECTION("of what a request for a place and its end say") {
      TargetPermitRequest Sent{"vm-1", 77, {"e1", 5, 1.8, true}};
      Sent.Place_ = {8, 2.5, 4s, {{70, 71}, {76}}};
      PlaceNeed Place = roundTrip(Sent).Place_;
      CHECK(Place.Slots_ == 8);
      CHECK(Place.Rejections_ == 2.5);
      CHECK(Place.Lasts_ == 4s);
      CHECK(Place.InUse_.Held_ == std::vector<std::uint64_t>{70, 71});
      CHECK(Place.InUse_.Awaited_ == std::vector<std::uint64_t>{76});
      PlaceRelease Release =
          roundTrip(PlaceRelease{"vm-1", 70, "e1", 5, true, {{71}, {}}});
      CHECK(Release.Serial_ == 70);
      CHECK(Release.Target_ == "e1");
      CHECK(Release.Incarnation_ == 5);
      CHECK(Release.WasRejected_);
      CHECK(Release.InUse_.Held_ == std::vector<std::uint64_t>{71});
      CHECK(roundTrip(TargetPlaceFreed{"e1", 5}).Incarnation_ == 5);
      CHECK(
          roundTrip(StreamCopies{std::string("\x00\xff", 2)}).Records_.size() ==
          2);
      SECTION("within bounds") {
        Sent.Place_ = {-1, std::nan(""), Duration::max(), {}};
        PlaceNeed Odd = roundTrip(Sent).Place_;
        CHECK(Odd.Slots_ == 0);
        CHECK(Odd.Rejections_ == 0);
        CHECK(Odd.Lasts_ <= 10min);
      }
    }
    // Guards against VMs that don't hear each other during an upgrade.
    SECTION("of which a VM of an earlier release sent fewer") {
      msgpack::sbuffer Bytes;
      msgpack::pack(Bytes,
                    std::tuple("vm-1", 77, std::tuple("e1", 5, 1.8, true)));
      std::string Datagram =
          encodeFleetMessage(TargetPermitRequest{}).substr(0, 3) +
          std::string(Bytes.data(), Bytes.size());
      auto Read = decodeFleetMessage(Datagram);
      REQUIRE(isOk(Read));
      const auto &Request = std::get<TargetPermitRequest>(valueOf(Read));
      CHECK(Request.Request_.RatePerSecond_ == 1.8);
      CHECK(Request.Place_.Slots_ == 0);
    }
    SECTION("of clock requests and replies") {
      CHECK(roundTrip(ClockRequest{"vm-2", 3s}).RequestedAt_ == 3s);
      CHECK(roundTrip(ClockReply{{"vm-1", "life"}, 3s, 8s}).ClockTime_ == 8s);
    }
  }
  SECTION("and table rows keep their fields as well") {
    auto Rows = decodeTableRows(encodeTableRows({{"config", "{}", 7}}));
    REQUIRE(isOk(Rows));
    REQUIRE(valueOf(Rows).size() == 1);
    CHECK(valueOf(Rows)[0].Key_ == "config");
    CHECK(valueOf(Rows)[0].Version_ == 7);
    CHECK_FALSE(isOk(decodeTableRows("no rows")));
  }
  SECTION("are refused before memory is allocated for more than they contain") {
    // An array and a map that announce 2^32 - 1 entries in five bytes.
    for (const char *Header : {"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff"})
      CHECK_THROWS_AS(unpackBounded(Header), msgpack::size_overflow);
  }
  SECTION("with malformed bytes are refused") {
    rc::prop("no bytes crash the decoder", [](const std::string &Bytes) {
      decodeFleetMessage(Bytes);
      const char Release = encodeFleetMessage(ClockRequest{}).front();
      for (char Tag = 0; Tag < 14; ++Tag)
        decodeFleetMessage(std::string{Release, Tag, '\0'} + Bytes);
    });
  }
  // Guards against sums over VMs that overflow.
  SECTION("with counts of requests that no VM can have are clamped") {
    VmStateUpdate Update;
    Update.Running_["low"] = {INT_MIN, INT64_MIN, {{"a", INT_MIN}}};
    Update.Running_["high"] = {INT_MAX, INT64_MAX, {{"a", INT_MAX}}};
    auto Read = decodeFleetMessage(encodeFleetMessage(Update));
    REQUIRE(isOk(Read));
    RunningShares Running = std::get<VmStateUpdate>(valueOf(Read)).Running_;
    CHECK(Running["low"].Requests_ == 0);
    CHECK(Running["low"].Tokens_ == 0);
    CHECK(Running["low"].Adapters_["a"] == 0);
    CHECK(Running["high"].Requests_ == 100'000);
    CHECK(Running["high"].Tokens_ == 1'000'000'000'000);
    CHECK(Running["high"].Adapters_["a"] == 100'000);
  }
  SECTION("carry the number of VMs to forward them to") {
    std::string Bytes = encodeFleetMessage(ClockRequest{"vm-1", 5s});
    CHECK(forwardCountOf(Bytes) == 0);
    setForwardCount(Bytes, 38);
    CHECK(forwardCountOf(Bytes) == 38);
    CHECK(isOk(decodeFleetMessage(Bytes)));
    CHECK(forwardCountOf("") == 0);
    CHECK(forwardCountOf(std::string(3, '\x7f')) == 0);
  }
}
