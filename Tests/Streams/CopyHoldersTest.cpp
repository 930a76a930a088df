#include "Streams/CopyHolders.h"

#include <catch2/catch.hpp>

using namespace anvil;

TEST_CASE("two other VMs hold copies of what a VM remembers", "[streams]") {
  using Names = std::vector<std::string>;
  const Names Peers{"vm-1", "vm-2", "vm-4", "vm-5"};
  auto All = [](const std::string &) { return true; };

  SECTION("those that follow by name") {
    CHECK(copyHolders("vm-3", Peers, All) == Names{"vm-4", "vm-5"});
    CHECK(copyHolders("vm-5", Peers, All) == Names{"vm-1", "vm-2"});
    CHECK(copyHolders("vm-6", Peers, All) == Names{"vm-1", "vm-2"});
  }
  SECTION("and serve") {
    auto Serves = [](const std::string &Vm) { return Vm != "vm-4"; };
    CHECK(copyHolders("vm-3", Peers, Serves) == Names{"vm-5", "vm-1"});
  }
  SECTION("or as many as there are") {
    CHECK(copyHolders("vm-3", {"vm-4"}, All) == Names{"vm-4"});
    CHECK(copyHolders("vm-3", {"vm-3"}, All).empty());
    CHECK(copyHolders("vm-3", {}, All).empty());
  }
}
