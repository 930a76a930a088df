#include "Serving/EngineController.h"
#include "Serving/FleetView.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

/// A request that waits until `AimIn` from the start for an adapter.
static LoadDemand demandOf(Duration AimIn, int Waiting = 1) {
  return {3, Start + AimIn, Waiting};
}

// Guards against loads ordered in the order of their first requests, and
// against requests that move on to other engines because they know nothing of
// the queue.
TEST_CASE("an engine's queued loads", "[loading]") {
  EngineControllerOptions Options;
  Options.MaxAdapters_ = 12;
  EngineController Controller("base", Options);
  EngineReport Report;
  Report.Models_["base"] = {1, {}};
  Controller.adopt(Report, Start);
  StoreQueue Fleet{250ms, 10, 64, 0};
  SECTION("are ordered by who waits for them") {
    Controller.requestAdapter("a1", 1, Start, demandOf(2s), "vm-1");
    Controller.requestAdapter("a2", 1, Start + 1ms, demandOf(500ms), "vm-1");
    CHECK(Controller.nextOrder(0.5, Start + 2ms)->Adapter_ == "a2");
  }
  SECTION("count the waiting requests of all VMs") {
    Controller.requestAdapter("a1", 1, Start, demandOf(1s), "vm-1");
    Controller.requestAdapter("a2", 1, Start, demandOf(1s), "vm-1");
    Controller.requestAdapter("a2", 1, Start, demandOf(1s, 2), "vm-2");
    CHECK(Controller.nextOrder(0.5, Start)->Adapter_ == "a2");
  }
  SECTION("that are late leave a busy store to others") {
    Controller.requestAdapter("a1", 1, Start, demandOf(100ms), "vm-1");
    CHECK_FALSE(Controller.nextOrder(1.1, Start));
    Controller.requestAdapter("a2", 1, Start, demandOf(1s), "vm-1");
    CHECK(Controller.nextOrder(1.1, Start)->Adapter_ == "a2");
  }
  SECTION("are reported with their expected end") {
    CHECK(Controller.queuedLoads(Fleet, Start).empty());
    Controller.requestAdapter("a1", 1, Start, demandOf(1s), "vm-1");
    CHECK(Controller.queuedLoads(Fleet, Start).at("a1") == 250ms);
    SECTION("which is later the longer the engine is blocked") {
      Controller.requestAdapter("a1", 1, Start + 800ms, demandOf(1s), "vm-1");
      CHECK(Controller.queuedLoads(Fleet, Start + 800ms).at("a1") == 800ms);
    }
    SECTION("until they are ordered") {
      REQUIRE(Controller.nextOrder(0.5, Start));
      Controller.recordOrderResult(OrderResult::Accepted, Start);
      CHECK(Controller.queuedLoads(Fleet, Start).empty());
    }
    SECTION("until nobody requests them") {
      CHECK(Controller.queuedLoads(Fleet, Start + 1s).empty());
    }
  }
}

TEST_CASE("a VM's view of queued and ordered loads", "[loading]") {
  FleetView View;
  EngineInventory Inventory;
  Inventory.HasModel_ = true;
  Inventory.Adapters_["a1"] = {1, 150ms, 100ms, LoadSource::Store};
  Inventory.Queued_["a2"] = 400ms;
  View.applyInventory("engine-1", Inventory, Start);
  CHECK(View.queuedLoads(Start) == 1);
  CHECK(View.engine("engine-1")->Queued_.at("a2") == Start + 400ms);
  SECTION("keeps the time of the order once the adapter is loaded") {
    Inventory.Adapters_["a1"] = {1, {}};
    View.applyInventory("engine-1", Inventory, Start + 200ms);
    CHECK(View.engine("engine-1")->Adapters_.at("a1").OrderedAt_ ==
          Start - 100ms);
  }
  SECTION("forgets the queue of an owner that is no longer reachable") {
    CHECK(View.queuedLoads(Start + 10s) == 0);
  }
}
