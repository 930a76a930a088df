#include "Serving/TargetOwnership.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static VmRow vmRow(std::string Vm, std::uint64_t Version) {
  VmRow Row;
  Row.Vm_ = std::move(Vm);
  Row.RowVersion_ = Version;
  return Row;
}

static OwnerRow ownerRow(std::string Target, std::string Vm,
                         std::uint64_t Fence, std::uint64_t Version) {
  return {std::move(Target), std::move(Vm), Fence, Version};
}

TEST_CASE("the ownership of targets", "[ownership]") {
  TargetOwnershipOptions Options;
  TargetOwnership Own("a", Options, Start);
  Own.applyVms({vmRow("a", 1), vmRow("b", 2)}, Start);
  Own.applyOwners({}, Start);
  Own.noteRenewed(Start + 2s);
  SECTION("is claimed for free targets once the VMs know each other") {
    CHECK(Own.claims({{"e1", "z"}, {"e2", "z"}}, Start + 1s).empty());
    auto Claims = Own.claims(
        {{"e1", "z"}, {"e2", "z"}, {"e3", "z"}, {"e4", "z"}}, Start + 2s);
    // Two VMs share four targets.
    REQUIRE(Claims.size() == 2);
    CHECK(Claims[0].ExpectedRow_ == 0);
    SECTION("and orders may be given at once, since nobody did before") {
      OwnerRow Row = Claims[0].Row_;
      Own.noteClaimed(Row, Start + 2s);
      CHECK(Own.mayOrder(Row.Target_, Start + 2s) == 1);
      SECTION("but not after the lease ended") {
        CHECK_FALSE(Own.mayOrder(Row.Target_, Start + 2s + Options.LeaseTerm_));
      }
    }
  }
  SECTION("goes to a VM of the target's own data centre") {
    VmRow Near = vmRow("b", 4);
    Near.DataCentre_ = "near";
    Own.applyVms({vmRow("a", 1), Near}, Start);
    CHECK(Own.claims({{"e1", "near"}, {"e2", "near"}}, Start + 2s).empty());
    SECTION("or to any VM where none lives there") {
      CHECK_FALSE(
          Own.claims({{"e1", "far"}, {"e2", "far"}}, Start + 2s).empty());
    }
  }
  // Ended front-oviedo-1 on trouble-2 of serenas-norte by a division by zero.
  SECTION("is not claimed while no VM's row is to be seen, not even its own") {
    Own.applyVms({}, Start + 2s);
    CHECK(Own.claims({{"e1", "z"}}, Start + 2s).empty());
  }
  SECTION("stays with a VM that renews") {
    Own.applyOwners({ownerRow("e1", "b", 1, 5)}, Start);
    Own.applyVms({vmRow("a", 1), vmRow("b", 3)}, Start + 5s);
    Own.noteRenewed(Start + 9s);
    CHECK(Own.claims({{"e1", "z"}}, Start + 9s).empty());
    CHECK_FALSE(Own.mayOrder("e1", Start + 9s));
  }
  SECTION("is taken from a VM that doesn't") {
    Own.applyOwners({ownerRow("e1", "b", 1, 5)}, Start);
    TimePoint Later = Start + Options.LeaseTerm_ + Options.Margin_;
    Own.noteRenewed(Later);
    // Rows as old as its own silence say nothing of the other VM.
    CHECK(Own.needsRead(Later));
    CHECK(Own.claims({{"e1", "z"}}, Later).empty());
    Own.applyVms({vmRow("a", 1), vmRow("b", 2)}, Later);
    CHECK_FALSE(Own.needsRead(Later));
    auto Claims = Own.claims({{"e1", "z"}}, Later);
    REQUIRE(Claims.size() == 1);
    CHECK(Claims[0].SilentVm_ == "b");
    CHECK(Claims[0].SilentVmRow_ == 2);
    CHECK(Claims[0].Row_.Fence_ == 2);
    SECTION("and nobody gives orders for the handover's pause") {
      Own.noteClaimed(Claims[0].Row_, Later);
      CHECK_FALSE(Own.mayOrder("e1", Later + Options.HandoverPause_ - 1ms));
      Own.noteRenewed(Later + Options.HandoverPause_);
      CHECK(Own.mayOrder("e1", Later + Options.HandoverPause_) == 2);
    }
    SECTION("also when the claim's answer is lost") {
      Own.noteClaimSent("e1", Later);
      Own.applyOwners({ownerRow("e1", "a", 2, 9)}, Later + 1s);
      Own.noteRenewed(Later + 1s);
      CHECK_FALSE(Own.mayOrder("e1", Later + 1s));
      CHECK(Own.mayOrder("e1", Later + Options.HandoverPause_));
    }
  }
  SECTION("stays where it was when this VM could not read for long") {
    Own.applyOwners({ownerRow("e1", "b", 1, 5)}, Start);
    TimePoint Later = Start + Options.RowMemory_ + 6s;
    Own.noteRenewed(Later);
    CHECK(Own.claims({{"e1", "z"}}, Later).empty());
    CHECK(Own.rowsToPurge(Later).empty());
    CHECK(Own.liveVms(Later).size() == 2);
    Own.applyVms({vmRow("a", 1), vmRow("b", 8)}, Later);
    CHECK(Own.claims({{"e1", "z"}}, Later).empty());
    CHECK(Own.rowsToPurge(Later).empty());
  }
  SECTION("goes on at once in a new process of the same VM") {
    TargetOwnership Again("a", Options, Start + 20s);
    Again.applyVms({vmRow("a", 1)}, Start + 20s);
    Again.applyOwners({ownerRow("e1", "a", 4, 5)}, Start + 20s);
    CHECK_FALSE(Again.mayOrder("e1", Start + 20s));
    Again.noteRenewed(Start + 20s);
    CHECK(Again.mayOrder("e1", Start + 20s) == 4);
  }
  SECTION("is read anew once the VM's missing row was written again") {
    // Between the reading and the writing another VM could claim the target,
    // since the owner had no row.
    Own.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 2s);
    Own.noteRenewed(Start + 3s);
    Own.noteRowCreated();
    CHECK_FALSE(Own.mayOrder("e1", Start + 3s));
    CHECK(Own.owned().empty());
    SECTION("and goes on if nobody did") {
      Own.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 4s);
      CHECK(Own.mayOrder("e1", Start + 4s) == 1);
    }
    SECTION("and is over if another VM did") {
      Own.applyOwners({ownerRow("e1", "b", 2, 9)}, Start + 4s);
      CHECK_FALSE(Own.mayOrder("e1", Start + 4s));
    }
  }
  SECTION("ends when the VM's own row was taken away") {
    Own.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 2s);
    REQUIRE(Own.mayOrder("e1", Start + 3s));
    Own.noteRenewalRefused();
    CHECK_FALSE(Own.mayOrder("e1", Start + 3s));
    CHECK(Own.owned().empty());
  }
  SECTION("leaves the row of a silent VM for a while, then removes it") {
    Own.applyVms({vmRow("a", 9), vmRow("b", 2)}, Start + 11s);
    CHECK(Own.rowsToPurge(Start + 11s).empty());
    Own.applyVms({vmRow("a", 9), vmRow("b", 2)}, Start + Options.RowMemory_);
    auto Rows = Own.rowsToPurge(Start + Options.RowMemory_);
    REQUIRE(Rows.size() == 1);
    CHECK(Rows[0].Vm_ == "b");
  }
}

static VmRow rowIn(std::string Vm, std::uint64_t Version,
                   std::string DataCentre, bool Standby) {
  VmRow Row = vmRow(std::move(Vm), Version);
  Row.DataCentre_ = std::move(DataCentre);
  Row.Standby_ = Standby;
  return Row;
}

TEST_CASE("the ownership of targets where most VMs are on standby",
          "[ownership]") {
  TargetOwnershipOptions Options;
  TargetOwnership Own("a", Options, Start);
  std::vector<VmRow> Rows{rowIn("a", 1, "north", false),
                          rowIn("b", 2, "north", true),
                          rowIn("c", 3, "south", true)};
  Own.applyVms(Rows, Start + 2s);
  Own.applyOwners({}, Start + 2s);
  Own.noteRenewed(Start + 2s);
  SECTION("goes to the VMs that claim") {
    CHECK(Own.claims({{"e1", "north"}, {"e2", "north"}}, Start + 2s).size() ==
          2);
  }
  SECTION("waits for a VM of the target's data centre to claim it") {
    CHECK(Own.claims({{"e1", "south"}}, Start + 2s).empty());
    SECTION("but not for long") {
      Rows[0].RowVersion_ = 9;
      Own.applyVms(Rows, Start + 14s);
      Own.noteRenewed(Start + 14s);
      CHECK(Own.claims({{"e1", "south"}}, Start + 14s).size() == 1);
    }
  }
  SECTION("is no affair of this VM while its own row is on standby") {
    Own.noteStandby();
    CHECK(Own.claims({{"e1", "north"}}, Start + 2s).empty());
    Own.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 2s);
    CHECK_FALSE(Own.mayOrder("e1", Start + 2s));
  }
  SECTION("rows on standby count for longer than leases") {
    CHECK(Own.liveVms(Start + 11s).size() == 3);
    Rows[0].RowVersion_ = 9;
    Own.applyVms(Rows, Start + 33s);
    CHECK(Own.liveVms(Start + 33s).size() == 1);
    CHECK(Own.rowsToPurge(Start + 33s).empty());
    Own.applyVms(Rows, Start + 39s);
    CHECK(Own.rowsToPurge(Start + 39s).size() == 2);
  }
  SECTION("the VMs that claim are few, and nearly the same when one goes") {
    std::vector<std::string> Vms;
    for (int Vm = 0; Vm < 39; ++Vm)
      Vms.push_back("vm-" + std::to_string(Vm));
    auto First = TargetOwnership::claimants(Vms, 16);
    REQUIRE(First.size() == 5);
    std::erase(Vms, First[2]);
    auto Next = TargetOwnership::claimants(Vms, 16);
    CHECK(std::ranges::count_if(Next, [&](const std::string &Vm) {
            return std::ranges::find(First, Vm) != First.end();
          }) == 4);
    CHECK(TargetOwnership::claimants({"only"}, 16).size() == 1);
    CHECK(TargetOwnership::claimants(Vms, 0).size() == 2);
  }
}
