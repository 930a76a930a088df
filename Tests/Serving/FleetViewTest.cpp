#include "Serving/FleetView.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static VmStateUpdate updateOf(std::string Vm, std::uint64_t Sequence,
                              int Requests) {
  VmStateUpdate Update;
  Update.Vm_ = std::move(Vm);
  Update.Incarnation_ = "life";
  Update.Sequence_ = Sequence;
  Update.Running_["e1"] = {Requests, Requests * 100, {{"a1", Requests}}};
  return Update;
}

TEST_CASE("state updates of other VMs", "[fleet]") {
  FleetView View;
  REQUIRE(View.apply(updateOf("b", 1, 2), Start));
  REQUIRE(View.apply(updateOf("c", 1, 3), Start));
  SECTION("are summed by target") {
    CHECK(View.peersRunningOn("e1").Requests_ == 5);
    CHECK(View.peersRunningOn("e1").Tokens_ == 500);
    CHECK(View.peerRequestsWith("a1") == 5);
    CHECK(View.reachableVms(Start) == 2);
  }
  SECTION("are not overwritten by a reordered older datagram") {
    REQUIRE(View.apply(updateOf("b", 3, 7), Start));
    CHECK_FALSE(View.apply(updateOf("b", 2, 1), Start));
    CHECK(View.peersRunningOn("e1").Requests_ == 10);
  }
  SECTION("expire once a VM is unresponsive") {
    View.expire(Start + 2s);
    CHECK(View.peersRunningOn("e1").Requests_ == 0);
    CHECK(View.peerRequestsWith("a1") == 0);
    CHECK(View.reachableVms(Start + 2s) == 0);
  }
}

static DataCentreSummary summaryOf(std::string Sender, std::uint64_t Sequence,
                                   std::uint64_t Vms, int Requests) {
  DataCentreSummary Update;
  Update.DataCentre_ = "north";
  Update.Sender_ = std::move(Sender);
  Update.Incarnation_ = "life";
  Update.Sequence_ = Sequence;
  Update.Period_ = 600ms;
  Update.Vms_ = Vms;
  Update.Running_["e1"] = {Requests, Requests * 100, {{"a1", Requests}}};
  return Update;
}

TEST_CASE("the summary of another data centre", "[fleet]") {
  FleetView View;
  REQUIRE(View.apply(updateOf("b", 1, 2), Start));
  REQUIRE(View.apply(summaryOf("n1", 5, 30, 40), Start));
  SECTION("is added to the updates of the local peers") {
    CHECK(View.peersRunningOn("e1").Requests_ == 42);
    CHECK(View.peerRequestsWith("a1") == 42);
    CHECK(View.reachableVms(Start) == 31);
    CHECK(View.reachableLocalVms(Start) == 1);
  }
  SECTION("is replaced by the summary of a second VM there") {
    REQUIRE(View.apply(summaryOf("n2", 1, 30, 38), Start + 300ms));
    CHECK(View.peersRunningOn("e1").Requests_ == 40);
    CHECK(View.reachableVms(Start + 300ms) == 31);
    SECTION("and a reordered older datagram changes nothing") {
      CHECK_FALSE(View.apply(summaryOf("n1", 4, 30, 7), Start + 400ms));
      CHECK(View.peersRunningOn("e1").Requests_ == 40);
    }
  }
  SECTION("counts the VMs of the sender that reaches the most") {
    REQUIRE(View.apply(summaryOf("n2", 1, 1, 0), Start + 300ms));
    CHECK(View.reachableVms(Start + 300ms) == 31);
  }
  SECTION("expires once no VM sends it") {
    View.expire(Start + 3s);
    CHECK(View.peersRunningOn("e1").Requests_ == 0);
    CHECK(View.reachableVms(Start + 3s) == 0);
  }
  SECTION("is the sum of its VMs' updates") {
    VmStateUpdate Update = updateOf("c", 1, 3);
    Update.Crashes_ = {{"digest", "e1", 7}};
    Update.LeavingTargets_ = {{"e2", 5}};
    REQUIRE(View.apply(Update, Start));
    DataCentreSummary Sums;
    View.addLocalUpdates(Sums, Start);
    CHECK(Sums.Vms_ == 2);
    CHECK(Sums.Running_.at("e1").Requests_ == 5);
    CHECK(Sums.Running_.at("e1").Adapters_.at("a1") == 5);
    CHECK(Sums.Crashes_.size() == 1);
    CHECK(Sums.LeavingTargets_.at("e2") == 5);
  }
}

TEST_CASE("the view of an engine's inventory", "[fleet]") {
  FleetView View;
  EngineInventory Inventory{1, true, {{"a1", {1, 0ms}}, {"a2", {1, 250ms}}}};
  View.applyInventory("e1", Inventory, Start);
  REQUIRE(View.engine("e1"));
  CHECK(View.inTransit(Start) == 1);
  SECTION("prefers the owner's report to the engine's older entry") {
    RegisteredTarget Entry;
    Entry.Id_ = "e1";
    Entry.Incarnation_ = 1;
    Entry.Models_["base"] = {1, {{"a9", 1}}};
    View.applyRegistryEntry(Entry, "base", Start + 1s);
    CHECK(View.engine("e1")->Adapters_.contains("a1"));
    SECTION("unless the engine restarted") {
      Entry.Incarnation_ = 2;
      View.applyRegistryEntry(Entry, "base", Start + 1s);
      CHECK(View.engine("e1")->Adapters_.contains("a9"));
      View.applyInventory("e1", Inventory, Start + 2s);
      CHECK_FALSE(View.engine("e1")->Adapters_.contains("a1"));
    }
    SECTION("or the owner's report has expired") {
      View.applyRegistryEntry(Entry, "base", Start + 4s);
      CHECK(View.engine("e1")->Adapters_.contains("a9"));
    }
  }
  SECTION("postpones the expected end of a late load") {
    CHECK_FALSE(View.recordMissingAdapter("e1", "a2", Start + 300ms));
    CHECK(View.engine("e1")->Adapters_.at("a2").ReadyAt_ > Start + 300ms);
    SECTION("also after the owner repeats its report") {
      View.applyInventory("e1", {1, true, {{"a2", {1, 0ms}}}}, Start + 310ms);
      CHECK(View.engine("e1")->Adapters_.at("a2").ReadyAt_ > Start + 310ms);
    }
  }
  SECTION("is wrong when an adapter held for long is missing") {
    CHECK(View.recordMissingAdapter("e1", "a1", Start + 10s));
    CHECK_FALSE(View.engine("e1")->Adapters_.contains("a1"));
  }
}
