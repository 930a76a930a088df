#include "Entry/OwnerRows.h"

#include <catch2/catch.hpp>

using namespace anvil;

// Guards against a transaction of an earlier era whose precondition holds by
// chance, since the store gives out versions again.
TEST_CASE("the rows of VMs and owners", "[store-era][ownership]") {
  VmRow Vm;
  Vm.Vm_ = "a";
  Vm.PeerAddress_ = "10.0.0.1:7600";
  OwnerRow Owner{"e/1", "a", 5, 0};
  auto RowsOf = [&](std::uint64_t Era, std::uint64_t Version) {
    return std::vector<TableRow>{
        {vmRowKey("a", Era), encodeVmRow(Vm), Version},
        {ownerRowKey("e/1", Era), encodeOwnerRow(Owner), Version}};
  };
  SECTION("keep their names where the store names no era") {
    CHECK(vmRowKey("a", 0) == "vm/a");
    CHECK(ownerRowKey("e/1", 0) == "owner/e/1");
    ControlRows Decoded = decodeControlRows(RowsOf(0, 4), 0);
    REQUIRE(Decoded.Vms_.size() == 1);
    REQUIRE(Decoded.Owners_.size() == 1);
    CHECK(Decoded.Owners_[0].Target_ == "e/1");
    CHECK(Decoded.EarlierRows_.empty());
  }
  SECTION("count in their own era") {
    ControlRows Decoded = decodeControlRows(RowsOf(2, 4), 2);
    CHECK(Decoded.Vms_.size() == 1);
    REQUIRE(Decoded.Owners_.size() == 1);
    CHECK(Decoded.Owners_[0].Target_ == "e/1");
    CHECK(Decoded.EarlierVms_.empty());
  }
  SECTION("show only addresses in a later era, and are removed there") {
    for (std::uint64_t Era : {0, 2}) {
      ControlRows Decoded = decodeControlRows(RowsOf(Era, 4), 3);
      CHECK(Decoded.Vms_.empty());
      CHECK(Decoded.Owners_.empty());
      REQUIRE(Decoded.EarlierVms_.size() == 1);
      CHECK(Decoded.EarlierVms_[0].PeerAddress_ == Vm.PeerAddress_);
      REQUIRE(Decoded.EarlierRows_.size() == 2);
      TableTransaction Change = removal(Decoded.EarlierRows_);
      CHECK(Change.Checks_.size() == 2);
      CHECK_FALSE(Change.Writes_[0].Value_);
    }
    auto Rows = RowsOf(2, 4);
    Rows.push_back({vmRowKey("a", 3), encodeVmRow(Vm), 9});
    ControlRows Decoded = decodeControlRows(Rows, 3);
    CHECK(Decoded.Vms_.size() == 1);
    CHECK(Decoded.EarlierVms_.empty());
  }
  SECTION("of different eras are never in one transaction's way") {
    OwnerClaim Claim{Owner, 4, "b", 4};
    for (const RowCheck &Check : claimTransaction(Claim, "a", 4, 2).Checks_)
      CHECK(Check.Key_.starts_with("era/2/"));
  }
}
