#include "Serving/EngineController.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static EngineReport reportOf(std::uint64_t Orders, AdapterVersions Held) {
  EngineReport Report;
  Report.OrdersAccepted_ = Orders;
  Report.Models_["base"] = {1, std::move(Held)};
  return Report;
}

static EngineController controllerOf(int Slots, AdapterVersions Held) {
  EngineControllerOptions Options;
  Options.MaxAdapters_ = Slots;
  EngineController Controller("base", Options);
  Controller.adopt(reportOf(3, std::move(Held)), Start);
  return Controller;
}

TEST_CASE("an engine that restarted", "[placement]") {
  EngineControllerOptions Options;
  Options.MaxAdapters_ = 2;
  Options.ReserveSlotUntil_ = Start + 15s;
  EngineController Controller("base", Options);
  Controller.adopt(reportOf(3, {{"a1", 1}}), Start);
  SECTION("keeps a slot for an order that its earlier incarnation left "
          "unanswered") {
    // Such an order carries the same count, so the engine would accept it now.
    Controller.requestAdapter("a2", 1, Start);
    CHECK_FALSE(Controller.nextOrder(1, Start));
    Controller.requestAdapter("a2", 1, Start + 2s);
    auto Order = Controller.nextOrder(1, Start + 2s);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::UnloadAdapter);
  }
  SECTION("uses the slot once no such order can arrive") {
    Controller.requestAdapter("a2", 1, Start + 15s);
    auto Order = Controller.nextOrder(1, Start + 15s);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::LoadAdapter);
  }
}

// Guards against an engine that gets no orders any more: the repeated answer to
// an earlier order counts as that to a later one, which wasn't accepted.
TEST_CASE("an order that counts as accepted and wasn't", "[placement]") {
  EngineController Controller = controllerOf(4, {{"a1", 1}});
  Controller.requestAdapter("a2", 1, Start);
  REQUIRE(Controller.nextOrder(1, Start));
  Controller.recordOrderResult(OrderResult::Accepted, Start);
  Controller.requestAdapter("a3", 1, Start);
  REQUIRE(Controller.nextOrder(1, Start));
  Controller.recordOrderResult(OrderResult::Conflict, Start);
  REQUIRE(Controller.needsReport());
  EngineReport Report = reportOf(3, {{"a1", 1}});
  SECTION("is awaited while reports may lag") {
    CHECK_FALSE(Controller.adopt(Report, Start + 150ms));
    CHECK_FALSE(Controller.adopt(Report, Start + 900ms));
    CHECK(Controller.adopt(reportOf(4, {{"a1", 1}, {"a2", 1}}), Start + 950ms));
    CHECK(Controller.heldAdapters().contains("a2"));
  }
  SECTION("is given up after that") {
    CHECK_FALSE(Controller.adopt(Report, Start + 150ms));
    REQUIRE(Controller.adopt(Report, Start + 1200ms));
    CHECK(Controller.ordersAccepted() == 3);
    CHECK_FALSE(Controller.heldAdapters().contains("a2"));
    Controller.requestAdapter("a2", 1, Start + 1200ms);
    auto Order = Controller.nextOrder(1, Start + 1200ms);
    REQUIRE(Order);
    CHECK(Order->ExpectedOrders_ == 3);
  }
}

TEST_CASE("the orders to an engine", "[placement]") {
  SECTION("are not sent before the engine's state is known") {
    EngineController Controller("base", {});
    Controller.requestAdapter("a1", 1, Start);
    CHECK(Controller.needsReport());
    CHECK_FALSE(Controller.nextOrder(1, Start));
  }
  SECTION("load the model first on an engine that started empty") {
    EngineController Controller("base", {});
    Controller.adopt({}, Start);
    CHECK_FALSE(Controller.nextOrder(1, Start));
    auto Order = Controller.nextOrder(1, Start + 1s);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::LoadModel);
  }
  EngineController Controller = controllerOf(2, {{"a1", 1}});
  SECTION("load a requested adapter into a free slot") {
    CHECK_FALSE(Controller.requestAdapter("a2", 1, Start));
    auto Order = Controller.nextOrder(1, Start);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::LoadAdapter);
    CHECK(Order->Adapter_ == "a2");
    CHECK(Order->ExpectedOrders_ == 3);
    SECTION("one at a time") {
      Controller.requestAdapter("a3", 1, Start);
      CHECK_FALSE(Controller.nextOrder(1, Start));
    }
    SECTION("and are counted when accepted") {
      Controller.recordOrderResult(OrderResult::Accepted, Start);
      CHECK(Controller.ordersAccepted() == 4);
      auto ReadyAt = Controller.requestAdapter("a2", 1, Start);
      REQUIRE(ReadyAt);
      CHECK(*ReadyAt == Start + 250ms);
      SECTION("but an older report is rejected") {
        CHECK_FALSE(Controller.adopt(reportOf(3, {{"a1", 1}}), Start + 50ms));
        CHECK(Controller.ordersAccepted() == 4);
        CHECK(Controller.heldAdapters().contains("a2"));
      }
    }
    SECTION("and are repeated with the same count when unanswered") {
      Controller.recordOrderResult(OrderResult::Unknown, Start);
      auto Repeated = Controller.nextOrder(1, Start);
      REQUIRE(Repeated);
      CHECK(Repeated->Adapter_ == "a2");
      CHECK(Repeated->ExpectedOrders_ == 3);
      SECTION("so that one executed late cannot exceed the slots") {
        // The engine has counted the late order and refuses this one.
        Controller.recordOrderResult(OrderResult::Conflict, Start);
        CHECK(Controller.needsReport());
        CHECK_FALSE(Controller.nextOrder(1, Start));
        // The next one expects the engine's own count.
        REQUIRE(
            Controller.adopt(reportOf(4, {{"a1", 1}, {"a2", 1}}), Start + 1s));
        Controller.requestAdapter("a3", 1, Start + 5s);
        auto Next = Controller.nextOrder(1, Start + 5s);
        REQUIRE(Next);
        CHECK(Next->Kind_ == OrderKind::UnloadAdapter);
        CHECK(Next->ExpectedOrders_ == 4);
      }
    }
  }
  SECTION("evict the least recently used adapter when the slots are full") {
    EngineController Full = controllerOf(2, {{"a1", 1}, {"a2", 1}});
    TimePoint Later = Start + 10s;
    Full.recordUse("a1", Later - 2s);
    Full.requestAdapter("a3", 1, Later);
    auto Order = Full.nextOrder(1, Later);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::UnloadAdapter);
    CHECK(Order->Adapter_ == "a2");
    SECTION("but none with running requests") {
      EngineController Busy = controllerOf(2, {{"a1", 1}, {"a2", 1}});
      Busy.recordUse("a1", Later);
      Busy.recordUse("a2", Later);
      Busy.requestAdapter("a3", 1, Later);
      CHECK_FALSE(Busy.nextOrder(1, Later));
    }
  }
  SECTION("follow the order of the first requests, repeated or not") {
    EngineController Wide = controllerOf(20, {});
    Wide.requestAdapter("b1", 1, Start);
    Wide.requestAdapter("b2", 1, Start + 10ms);
    Wide.requestAdapter("b1", 1, Start + 20ms);
    CHECK(Wide.nextOrder(1, Start + 30ms)->Adapter_ == "b1");
  }
  SECTION("delay loads from the weight store while it is busy") {
    EngineController Wide = controllerOf(20, {{"b1", 1}});
    // b1 was held recently, so that it is loaded without the store.
    Wide.adopt(reportOf(4, {}), Start);
    Wide.requestAdapter("b2", 1, Start);
    CHECK_FALSE(Wide.nextOrder(2, Start));
    Wide.requestAdapter("b1", 1, Start + 1ms);
    CHECK(Wide.nextOrder(2, Start + 1ms)->Adapter_ == "b1");
  }
  SECTION("have no more adapters in transit than the engine accepts") {
    EngineController Wide = controllerOf(20, {});
    for (int Index = 0; Index < 6; ++Index)
      Wide.requestAdapter("b" + std::to_string(Index), 1, Start);
    for (int Index = 0; Index < 4; ++Index) {
      REQUIRE(Wide.nextOrder(1, Start));
      Wide.recordOrderResult(OrderResult::Accepted, Start);
    }
    CHECK_FALSE(Wide.nextOrder(1, Start));
    CHECK(Wide.nextOrder(1, Start + 251ms));
  }
  SECTION("replace an old version") {
    Controller.recordUse("a1", Start + 1s);
    Controller.recordNewVersion("a1", 2, Start + 4s);
    SECTION("once no request runs on it") {
      CHECK_FALSE(Controller.nextOrder(1, Start + 1s));
      auto Order = Controller.nextOrder(1, Start + 2s);
      REQUIRE(Order);
      CHECK(Order->Version_ == 2);
    }
    SECTION("and at its deadline at the latest") {
      Controller.recordUse("a1", Start + 4s);
      CHECK(Controller.nextOrder(1, Start + 4s));
    }
  }
  // Guards against VERSION: an owner learns of a version only while it owns
  // the engine and the engine holds the adapter.
  SECTION("replace a version that was outdated before it was held") {
    VersionRequirements Versions(4s, 5s);
    Versions.recordVersion("base", "a2", 2, Start - 1s);
    Versions.recordVersion("base", "a2", 3, Start + 2s);
    Controller.applyVersions(Versions);
    Controller.requestAdapter("a2", 1, Start);
    REQUIRE(Controller.nextOrder(1, Start));
    Controller.recordOrderResult(OrderResult::Accepted, Start);
    Controller.applyVersions(Versions);
    Controller.recordUse("a2", Start + 3s);
    SECTION("by the time of the first newer version") {
      CHECK_FALSE(Controller.nextOrder(1, Start + 2900ms));
      auto Order = Controller.nextOrder(1, Start + 3s);
      REQUIRE(Order);
      CHECK(Order->Adapter_ == "a2");
      CHECK(Order->Version_ == 3);
    }
  }
}
