#include "Integration/EntryFleet.h"
#include "Integration/RequestLoad.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>

using namespace anvil;
using nlohmann::json;

/// The holders and the fencing tokens of an engine's orders, in the order in
/// which they arrived.
static std::vector<std::pair<std::string, std::uint64_t>>
ordersOf(EntryFleet &System, const std::string &Engine) {
  std::vector<std::pair<std::string, std::uint64_t>> Orders;
  for (const json &Item :
       sendJson(System.at(Engine).port(), "GET", "/records", json::object())
           .json())
    if (Item["event"] == "order")
      Orders.emplace_back(Item["body"]["Holder"], Item["body"]["Fence"]);
  return Orders;
}

static void useAdapters(EntryFleet &System, const std::string &Prefix) {
  for (int Index = 0; Index < 6; ++Index)
    System.call(Index % 2 ? "vm-1" : "vm-2", "/stream/x",
                {{"X-Model", "base/" + Prefix + std::to_string(Index)},
                 {"Authorization", "Token new-key"}});
}

// Guards against a second owner's orders, a withdrawn key that works again and
// a configuration that isn't noticed, after the store has come back from a copy
// in which the rows of all VMs, a withdrawal and a revision are missing.
TEST_CASE("a store that was restored from an older copy", "[store-era]") {
  EntryFleetPlan Plan;
  Plan.HasStoreEra_ = true;
  EntryFleet System(Plan);
  auto StatusOf = [&](const std::string &Vm, const std::string &Key) {
    return System.call(Vm, "/safe/x", {{"Authorization", "Token " + Key}})
        .Status_;
  };
  auto ServesOnAll = [&](const std::string &Key) {
    return eventually(
        [&] {
          return StatusOf("vm-1", Key) == 200 && StatusOf("vm-2", Key) == 200;
        },
        Millis(10000));
  };
  System.configure(2, {"new-key"});
  REQUIRE(ServesOnAll("new-key"));
  REQUIRE(StatusOf("vm-1", "good-key") == 401);
  REQUIRE(StatusOf("vm-2", "good-key") == 401);
  useAdapters(System, "a");
  RequestLoad Load(System, "/safe/x", {{"Authorization", "Token new-key"}}, 4);
  System.control("store", {{"down", true}});
  System.control("store", {{"down", false}, {"restore", true}});

  // The operator hasn't written the lost revision again.
  for (int Try = 0; Try < 20; ++Try)
    for (const char *Vm : {"vm-1", "vm-2"})
      CHECK(StatusOf(Vm, "good-key") != 200);
  // Reads of an older revision are no evidence that the plan is current.
  CHECK(eventually([&] { return StatusOf("vm-1", "new-key") == 503; },
                   Millis(10000)));
  System.configure(2, {"new-key"});
  CHECK(ServesOnAll("new-key"));
  useAdapters(System, "b");
  System.configure(3, {"new-key", "third-key"});
  CHECK(ServesOnAll("third-key"));
  CHECK(StatusOf("vm-1", "good-key") == 401);
  CHECK(StatusOf("vm-2", "good-key") == 401);
  for (const auto &[Id, Reply] : Load.finish()) {
    INFO(Id << " status " << Reply.Status_ << " " << Reply.Body_);
    CHECK((Reply.Status_ == 200 || Reply.Status_ == 503));
  }
  for (const char *Engine : {"engine-1", "engine-2"}) {
    std::set<std::string> Holders;
    std::uint64_t Highest = 0;
    for (const auto &[Holder, Fence] : ordersOf(System, Engine)) {
      Holders.insert(Holder);
      CHECK(Fence >= Highest);
      Highest = Fence;
    }
    INFO(Engine);
    // No VM stopped, so no engine changed its owner.
    CHECK(Holders.size() == 1);
  }
}
