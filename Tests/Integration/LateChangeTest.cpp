#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

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

// Guards against CONFIG: a VM that knows of a newer configuration handles
// requests by its older one for as long as it can't read the newer one.
TEST_CASE("a VM that is behind beyond the bound serves nothing",
          "[change-known-late]") {
  EntryFleetPlan Plan;
  Plan.ConfigApply_ = Millis(1000);
  EntryFleet System(Plan);
  System.setStorePace("vm-2", 6'000);
  System.configure(2, {"new-key"}, manyPaths());
  REQUIRE(eventually(
      [&] {
        return System
                   .call("vm-1", "/added-0/x",
                         {{"Authorization", "Token new-key"}})
                   .Status_ == 200;
      },
      Millis(3000)));
  std::this_thread::sleep_for(Millis(1500));
  int Late = 0;
  for (int Index = 0; Index < 10; ++Index) {
    int Added =
        System.call("vm-2", "/added-0/x", {{"Authorization", "Token new-key"}})
            .Status_;
    CHECK((Added == 200 || Added == 503));
    int Withdrawn = System.call("vm-2", "/safe/x").Status_;
    CHECK((Withdrawn == 401 || Withdrawn == 503));
    Late += Added == 503 ? 1 : 0;
    std::this_thread::sleep_for(Millis(50));
  }
  // Otherwise the link wasn't slow enough for this test.
  CHECK(Late > 0);
  System.setStorePace("vm-2", 0);
  CHECK(eventually(
      [&] {
        return System
                   .call("vm-2", "/added-0/x",
                         {{"Authorization", "Token new-key"}})
                   .Status_ == 200;
      },
      Millis(15000)));
}

// Guards against CONFIG and DENIED: a VM that hears nothing of the store for
// long answers 404 or 401 for what a newer configuration may have.
TEST_CASE("an unconfirmed configuration denies nothing",
          "[change-unconfirmed]") {
  EntryFleetPlan Plan;
  Plan.ConfigApply_ = Millis(1000);
  EntryFleet System(Plan);
  auto StatusOf = [&](const std::string &Path, const std::string &Key) {
    return System.call("vm-1", Path, {{"Authorization", "Token " + Key}})
        .Status_;
  };
  REQUIRE(StatusOf("/unknown/x", "good-key") == 404);
  REQUIRE(StatusOf("/safe/x", "unknown-key") == 401);
  for (const std::string &Vm : System.vms())
    System.setStoreLink(Vm, "cut");
  std::this_thread::sleep_for(Millis(1200));
  CHECK(StatusOf("/unknown/x", "good-key") == 503);
  CHECK(StatusOf("/safe/x", "unknown-key") == 503);
  CHECK(StatusOf("/safe/x", "good-key") == 200);
  for (const std::string &Vm : System.vms())
    System.setStoreLink(Vm, "pass");
  CHECK(eventually([&] { return StatusOf("/unknown/x", "good-key") == 404; },
                   Millis(10000)));
}
