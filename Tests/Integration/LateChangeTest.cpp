#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

using namespace anvil;

/// The number of routes in a configuration of some 200 KB.
static constexpr int ManyRoutes = 1000;

static std::vector<std::string> manyPaths() {
  std::vector<std::string> Paths;
  for (int Index = 0; Index < ManyRoutes; ++Index)
    Paths.push_back("/added-" + std::to_string(Index) + "/");
  return Paths;
}

// Guards against CONFIG: a change never comes into force at a VM whose link
// transfers it more slowly than a call to the store may take.
TEST_CASE("a change that takes long to transfer is taken",
          "[change-on-slow-link]") {
  EntryFleetPlan Plan;
  Plan.Vms_ = 1;
  EntryFleet System(Plan);
  // The transfer takes several times the time limit of a wait for changes.
  System.setStorePace("vm-1", 100'000);
  System.configure(2, {"good-key"}, manyPaths());
  CHECK(eventually(
      [&] { return System.call("vm-1", "/added-0/x").Status_ == 200; },
      Millis(10000)));
}
