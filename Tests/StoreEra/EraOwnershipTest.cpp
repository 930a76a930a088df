#include "Serving/TargetOwnership.h"
#include "StoreEra/StoreEra.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static VmRow vmRow(std::string Vm, std::uint64_t Version) {
  VmRow Row;
  Row.Vm_ = std::move(Vm);
  Row.RowVersion_ = Version;
  return Row;
}

static std::map<std::string, std::string> engines(int Count) {
  std::map<std::string, std::string> Engines;
  for (int Index = 0; Index < Count; ++Index)
    Engines["e" + std::to_string(Index)] = "z";
  return Engines;
}

// Guards against two VMs that order one engine after the store was restored
// from a copy in which the owner's rows are missing or older.
TEST_CASE("the ownership of targets in a new era of the store",
          "[store-era][ownership]") {
  TargetOwnershipOptions Options;
  TargetOwnership Ownership("a", Options, Start);
  TimePoint Renewed = Start + 20s;
  Ownership.startEra(3, TimePoint::min(), Start);
  Ownership.applyVms({vmRow("a", 100), vmRow("b", 101)}, Renewed);
  Ownership.applyOwners({{"e0", "a", StoreEra::firstFence(3), 90},
                         {"e1", "b", StoreEra::firstFence(3), 91}},
                        Renewed);
  Ownership.recordRenewal(Renewed);
  REQUIRE(Ownership.orderingFence("e0", Renewed) == StoreEra::firstFence(3));
  TimePoint LeaseEnd = Renewed + Options.LeaseTerm_;

  SECTION("of a VM whose lease runs") {
    TimePoint Seen = Renewed + 3s;
    TimePoint NewOwners = Seen + Ownership.rightsValidity();
    Ownership.startEra(4, NewOwners, Seen);
    SECTION("goes on until that lease ends") {
      CHECK(Ownership.orderingFence("e0", LeaseEnd - 1ms));
      CHECK_FALSE(Ownership.orderingFence("e0", LeaseEnd));
      CHECK(Ownership.ownerOf("e0", LeaseEnd - 1ms) == "a");
      CHECK(Ownership.ownerOf("e0", LeaseEnd).empty());
      Ownership.applyOwners({}, LeaseEnd - 1ms);
      CHECK(Ownership.owned().size() == 1);
      Ownership.applyOwners({}, LeaseEnd);
      CHECK(Ownership.owned().empty());
    }
    SECTION("goes on with a higher token once its row is written again") {
      CHECK(Ownership.claims(engines(2), Seen).empty());
      Ownership.recordRenewal(Seen + 100ms);
      auto Claims = Ownership.claims(engines(2), Seen + 200ms);
      REQUIRE(Claims.size() == 1);
      CHECK(Claims[0].Row_.Target_ == "e0");
      CHECK(Claims[0].ExpectedRow_ == 0);
      CHECK(Claims[0].Row_.Fence_ == StoreEra::firstFence(4));
      Ownership.recordClaimed(Claims[0].Row_, Seen + 200ms);
      CHECK(Ownership.orderingFence("e0", LeaseEnd) == StoreEra::firstFence(4));
      CHECK_FALSE(
          Ownership.orderingFence("e0", Seen + 100ms + Options.LeaseTerm_));
    }
    SECTION("goes on if the reply to that write is lost") {
      Ownership.recordRenewal(Seen + 100ms);
      Ownership.recordClaimSent("e0", Seen + 200ms);
      Ownership.applyOwners({{"e0", "a", StoreEra::firstFence(4), 70}},
                            Seen + 300ms);
      CHECK(Ownership.orderingFence("e0", Seen + 300ms) ==
            StoreEra::firstFence(4));
    }
    SECTION("ends if the rows of this era name another VM") {
      Ownership.applyOwners({{"e0", "b", StoreEra::firstFence(4), 70}},
                            Seen + 300ms);
      CHECK_FALSE(Ownership.orderingFence("e0", Seen + 300ms));
    }
    SECTION("keeps the pause of a takeover that had just begun") {
      TargetOwnership Taker("a", Options, Start);
      Taker.startEra(3, TimePoint::min(), Start);
      Taker.recordRenewal(Renewed);
      Taker.recordClaimed({"e1", "a", StoreEra::firstFence(3) + 1, 95},
                          Renewed);
      Taker.startEra(4, NewOwners, Renewed + 1s);
      Taker.recordRenewal(Renewed + 1s);
      auto Claims = Taker.claims(engines(2), Renewed + 1s);
      REQUIRE(Claims.size() == 1);
      Taker.recordClaimed(Claims[0].Row_, Renewed + 1s);
      CHECK_FALSE(
          Taker.orderingFence("e1", Renewed + Options.HandoverPause_ - 1ms));
      CHECK(Taker.orderingFence("e1", Renewed + Options.HandoverPause_));
    }
    SECTION("goes on when a second era begins before it is written again") {
      Ownership.startEra(5, Seen + 1s + Ownership.rightsValidity(), Seen + 1s);
      CHECK(Ownership.orderingFence("e0", LeaseEnd - 1ms));
      CHECK_FALSE(Ownership.orderingFence("e0", LeaseEnd));
      Ownership.recordRenewal(Seen + 1s);
      auto Claims = Ownership.claims(engines(2), Seen + 1s);
      REQUIRE(Claims.size() == 1);
      CHECK(Claims[0].Row_.Fence_ == StoreEra::firstFence(5));
    }
    SECTION("does not depend on an era that another VM still names") {
      Ownership.startEra(3, TimePoint::min(), Seen + 1s);
      Ownership.recordRenewal(Seen + 1s);
      CHECK(Ownership.claims(engines(1), Seen + 1s)[0].Row_.Fence_ ==
            StoreEra::firstFence(4));
    }
  }
  SECTION("of a VM that was frozen until its lease ended") {
    Ownership.startEra(4, LeaseEnd + Ownership.rightsValidity(), LeaseEnd);
    CHECK(Ownership.owned().empty());
    CHECK_FALSE(Ownership.orderingFence("e0", LeaseEnd));
    Ownership.recordRenewal(LeaseEnd);
    CHECK(Ownership.claims(engines(2), LeaseEnd).empty());
  }
  SECTION("of targets that no VM wrote again") {
    for (int Vms : {8, 60, 195}) {
      INFO(Vms << " VMs");
      // Twice as many engines as VMs, so that each VM claims some.
      auto Engines = engines(2 * Vms);
      TargetOwnership Late("a", Options, Start);
      TimePoint NewOwners = Start + Late.rightsValidity();
      Late.startEra(4, NewOwners, Start);
      std::vector<VmRow> Rows{vmRow("a", 1)};
      for (int Vm = 1; Vm < Vms; ++Vm)
        Rows.push_back(vmRow("vm-" + std::to_string(Vm), 1 + Vm));
      Late.applyVms(Rows, NewOwners - 1ms);
      Late.recordRenewal(NewOwners - 1ms);
      // No owner can still hold them once a lease, its margin and the pause
      // have passed since the era was first seen.
      CHECK(Late.claims(Engines, NewOwners - 1ms).empty());
      auto Claims = Late.claims(Engines, NewOwners);
      REQUIRE_FALSE(Claims.empty());
      Late.recordClaimed(Claims[0].Row_, NewOwners);
      CHECK(Late.orderingFence(Claims[0].Row_.Target_, NewOwners) ==
            StoreEra::firstFence(4));
    }
  }
  SECTION("of targets whose owner has a row of this era follows the usual "
          "rules at once") {
    TargetOwnership Restarted("b", Options, Start);
    Restarted.startEra(3, Start + Restarted.rightsValidity(), Start);
    Restarted.applyVms({vmRow("b", 7)}, Start + 1s);
    Restarted.applyOwners({{"e1", "b", StoreEra::firstFence(3), 91}},
                          Start + 1s);
    Restarted.recordRenewal(Start + 1s);
    CHECK(Restarted.orderingFence("e1", Start + 1s));
  }
}
