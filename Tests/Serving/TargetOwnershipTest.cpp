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
  TargetOwnership Ownership("a", Options, Start);
  Ownership.applyVms({vmRow("a", 1), vmRow("b", 2)}, Start);
  Ownership.applyOwners({}, Start);
  Ownership.recordRenewal(Start + 2s);
  SECTION("is claimed for unowned targets once the VMs know each other") {
    CHECK(Ownership.claims({{"e1", "z"}, {"e2", "z"}}, Start + 1s).empty());
    auto Claims = Ownership.claims(
        {{"e1", "z"}, {"e2", "z"}, {"e3", "z"}, {"e4", "z"}}, Start + 2s);
    // Two VMs share four targets.
    REQUIRE(Claims.size() == 2);
    CHECK(Claims[0].ExpectedRow_ == 0);
    SECTION("and orders may be sent at once, since there was no owner before") {
      OwnerRow Row = Claims[0].Row_;
      Ownership.recordClaimSent(Row.Target_, Start + 2s);
      Ownership.recordClaimed(Row, Start + 2s);
      CHECK(Ownership.orderingFence(Row.Target_, Start + 2s) == 1);
      CHECK_FALSE(Ownership.mayHavePredecessor(Row));
      SECTION("but not after the lease expired") {
        CHECK_FALSE(Ownership.orderingFence(Row.Target_,
                                            Start + 2s + Options.LeaseTerm_));
      }
    }
  }
  SECTION("goes to a VM of the target's own data centre") {
    VmRow Local = vmRow("b", 4);
    Local.DataCentre_ = "near";
    Ownership.applyVms({vmRow("a", 1), Local}, Start);
    CHECK(
        Ownership.claims({{"e1", "near"}, {"e2", "near"}}, Start + 2s).empty());
    SECTION("or to any VM if none is alive there") {
      CHECK_FALSE(
          Ownership.claims({{"e1", "far"}, {"e2", "far"}}, Start + 2s).empty());
    }
  }
  // Guards against a division by zero when no VM's row is visible, not even the
  // VM's own (incident on serenas-norte: front-oviedo-1 on trouble-2).
  SECTION("is not claimed while no VM's row is visible") {
    Ownership.applyVms({}, Start + 2s);
    CHECK(Ownership.claims({{"e1", "z"}}, Start + 2s).empty());
  }
  SECTION("stays with a VM that renews") {
    Ownership.applyOwners({ownerRow("e1", "b", 1, 5)}, Start);
    Ownership.applyVms({vmRow("a", 1), vmRow("b", 3)}, Start + 5s);
    Ownership.recordRenewal(Start + 9s);
    CHECK(Ownership.claims({{"e1", "z"}}, Start + 9s).empty());
    CHECK_FALSE(Ownership.orderingFence("e1", Start + 9s));
  }
  SECTION("is taken from a VM that does not renew") {
    Ownership.applyOwners({ownerRow("e1", "b", 1, 5)}, Start);
    TimePoint Later = Start + Options.LeaseTerm_ + Options.ClockMargin_;
    Ownership.recordRenewal(Later);
    // Rows as old as this VM's own last read do not show that the other VM has
    // expired.
    CHECK(Ownership.needsRead(Later));
    CHECK(Ownership.claims({{"e1", "z"}}, Later).empty());
    Ownership.applyVms({vmRow("a", 1), vmRow("b", 2)}, Later);
    CHECK_FALSE(Ownership.needsRead(Later));
    auto Claims = Ownership.claims({{"e1", "z"}}, Later);
    REQUIRE(Claims.size() == 1);
    CHECK(Claims[0].ExpiredVm_ == "b");
    CHECK(Claims[0].ExpiredVmRow_ == 2);
    CHECK(Claims[0].Row_.Fence_ == 2);
    SECTION("and no VM sends orders during the handover pause") {
      Ownership.recordClaimed(Claims[0].Row_, Later);
      CHECK_FALSE(
          Ownership.orderingFence("e1", Later + Options.HandoverPause_ - 1ms));
      Ownership.recordRenewal(Later + Options.HandoverPause_);
      CHECK(Ownership.orderingFence("e1", Later + Options.HandoverPause_) == 2);
      CHECK(Ownership.mayHavePredecessor(Claims[0].Row_));
    }
    SECTION("also when the claim's reply is lost") {
      Ownership.recordClaimSent("e1", Later);
      Ownership.applyOwners({ownerRow("e1", "a", 2, 9)}, Later + 1s);
      Ownership.recordRenewal(Later + 1s);
      CHECK_FALSE(Ownership.orderingFence("e1", Later + 1s));
      CHECK(Ownership.orderingFence("e1", Later + Options.HandoverPause_));
    }
  }
  SECTION("does not change when this VM could not read for a long time") {
    Ownership.applyOwners({ownerRow("e1", "b", 1, 5)}, Start);
    TimePoint Later = Start + Options.RowRetention_ + 6s;
    Ownership.recordRenewal(Later);
    CHECK(Ownership.claims({{"e1", "z"}}, Later).empty());
    CHECK(Ownership.rowsToPurge(Later).empty());
    CHECK(Ownership.liveVms(Later).size() == 2);
    Ownership.applyVms({vmRow("a", 1), vmRow("b", 8)}, Later);
    CHECK(Ownership.claims({{"e1", "z"}}, Later).empty());
    CHECK(Ownership.rowsToPurge(Later).empty());
  }
  SECTION("continues at once in a new process of the same VM") {
    TargetOwnership Restarted("a", Options, Start + 20s);
    Restarted.applyVms({vmRow("a", 1)}, Start + 20s);
    Restarted.applyOwners({ownerRow("e1", "a", 4, 5)}, Start + 20s);
    CHECK_FALSE(Restarted.orderingFence("e1", Start + 20s));
    Restarted.recordRenewal(Start + 20s);
    CHECK(Restarted.orderingFence("e1", Start + 20s) == 4);
    CHECK(Restarted.mayHavePredecessor(Restarted.owned().front()));
  }
  SECTION("must be read again once the VM's missing row was created again") {
    // Between reading and writing, another VM could claim the target, since the
    // owner had no row.
    Ownership.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 2s);
    Ownership.recordRenewal(Start + 3s);
    Ownership.recordRowCreated();
    CHECK_FALSE(Ownership.orderingFence("e1", Start + 3s));
    CHECK(Ownership.owned().empty());
    SECTION("and continues if no other VM claimed the target") {
      Ownership.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 4s);
      CHECK(Ownership.orderingFence("e1", Start + 4s) == 1);
    }
    SECTION("and ends if another VM claimed the target") {
      Ownership.applyOwners({ownerRow("e1", "b", 2, 9)}, Start + 4s);
      CHECK_FALSE(Ownership.orderingFence("e1", Start + 4s));
    }
  }
  SECTION("ends when the VM's own row was removed") {
    Ownership.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 2s);
    REQUIRE(Ownership.orderingFence("e1", Start + 3s));
    Ownership.recordRenewalRefused();
    CHECK_FALSE(Ownership.orderingFence("e1", Start + 3s));
    CHECK(Ownership.owned().empty());
  }
  SECTION("keeps the row of an expired VM for a while, then removes it") {
    Ownership.applyVms({vmRow("a", 9), vmRow("b", 2)}, Start + 11s);
    CHECK(Ownership.rowsToPurge(Start + 11s).empty());
    Ownership.applyVms({vmRow("a", 9), vmRow("b", 2)},
                       Start + Options.RowRetention_);
    auto Rows = Ownership.rowsToPurge(Start + Options.RowRetention_);
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
  TargetOwnership Ownership("a", Options, Start);
  std::vector<VmRow> Rows{rowIn("a", 1, "north", false),
                          rowIn("b", 2, "north", true),
                          rowIn("c", 3, "south", true)};
  Ownership.applyVms(Rows, Start + 2s);
  Ownership.applyOwners({}, Start + 2s);
  Ownership.recordRenewal(Start + 2s);
  SECTION("goes to the VMs that are not on standby") {
    CHECK(Ownership.claims({{"e1", "north"}, {"e2", "north"}}, Start + 2s)
              .size() == 2);
  }
  SECTION("waits for a VM of the target's data centre to claim it") {
    CHECK(Ownership.claims({{"e1", "south"}}, Start + 2s).empty());
    SECTION("but not for long") {
      Rows[0].RowVersion_ = 9;
      Ownership.applyVms(Rows, Start + 14s);
      Ownership.recordRenewal(Start + 14s);
      CHECK(Ownership.claims({{"e1", "south"}}, Start + 14s).size() == 1);
    }
  }
  SECTION("is not available to this VM while its own row is on standby") {
    Ownership.recordStandby();
    CHECK(Ownership.claims({{"e1", "north"}}, Start + 2s).empty());
    Ownership.applyOwners({ownerRow("e1", "a", 1, 5)}, Start + 2s);
    CHECK_FALSE(Ownership.orderingFence("e1", Start + 2s));
  }
  SECTION("standby rows are valid for longer than leases") {
    CHECK(Ownership.liveVms(Start + 11s).size() == 3);
    Rows[0].RowVersion_ = 9;
    Ownership.applyVms(Rows, Start + 33s);
    CHECK(Ownership.liveVms(Start + 33s).size() == 1);
    CHECK(Ownership.rowsToPurge(Start + 33s).empty());
    Ownership.applyVms(Rows, Start + 39s);
    CHECK(Ownership.rowsToPurge(Start + 39s).size() == 2);
  }
  SECTION("the VMs that claim are few, and nearly the same when one leaves") {
    std::vector<std::string> Vms;
    for (int Vm = 0; Vm < 39; ++Vm)
      Vms.push_back("vm-" + std::to_string(Vm));
    auto First = TargetOwnership::leaseCandidates(Vms, 16);
    REQUIRE(First.size() == 5);
    std::erase(Vms, First[2]);
    auto Next = TargetOwnership::leaseCandidates(Vms, 16);
    CHECK(std::ranges::count_if(Next, [&](const std::string &Vm) {
            return std::ranges::find(First, Vm) != First.end();
          }) == 4);
    CHECK(TargetOwnership::leaseCandidates({"only"}, 16).size() == 1);
    CHECK(TargetOwnership::leaseCandidates(Vms, 0).size() == 2);
  }
}
