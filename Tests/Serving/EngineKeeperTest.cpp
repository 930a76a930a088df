#include "Serving/EngineKeeper.h"

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

static EngineKeeper keeperOf(int Places, AdapterVersions Held) {
  EngineKeeperOptions Options;
  Options.MaxAdapters_ = Places;
  EngineKeeper Keeper("base", Options);
  Keeper.adopt(reportOf(3, std::move(Held)), Start);
  return Keeper;
}

TEST_CASE("an engine that started again", "[placement]") {
  EngineKeeperOptions Options;
  Options.MaxAdapters_ = 2;
  Options.SpareUntil_ = Start + 15s;
  EngineKeeper Keeper("base", Options);
  Keeper.adopt(reportOf(3, {{"a1", 1}}), Start);
  SECTION("keeps a place for an order that its earlier life left unanswered") {
    // Such an order names the same count, so the engine would accept it now.
    Keeper.want("a2", 1, Start);
    CHECK_FALSE(Keeper.nextOrder(1, Start));
    Keeper.want("a2", 1, Start + 2s);
    auto Order = Keeper.nextOrder(1, Start + 2s);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::UnloadAdapter);
  }
  SECTION("uses it once no such order can come") {
    Keeper.want("a2", 1, Start + 15s);
    auto Order = Keeper.nextOrder(1, Start + 15s);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::LoadAdapter);
  }
}

TEST_CASE("an engine's keeper", "[placement]") {
  SECTION("gives no order before it knows what the engine holds") {
    EngineKeeper Keeper("base", {});
    Keeper.want("a1", 1, Start);
    CHECK(Keeper.needsReport());
    CHECK_FALSE(Keeper.nextOrder(1, Start));
  }
  SECTION("loads the model first at an engine that started empty") {
    EngineKeeper Keeper("base", {});
    Keeper.adopt({}, Start);
    CHECK_FALSE(Keeper.nextOrder(1, Start));
    auto Order = Keeper.nextOrder(1, Start + 1s);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::LoadModel);
  }
  EngineKeeper Keeper = keeperOf(2, {{"a1", 1}});
  SECTION("loads what is wanted into a free place") {
    CHECK_FALSE(Keeper.want("a2", 1, Start));
    auto Order = Keeper.nextOrder(1, Start);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::LoadAdapter);
    CHECK(Order->Adapter_ == "a2");
    CHECK(Order->ExpectedOrders_ == 3);
    SECTION("one order at a time") {
      Keeper.want("a3", 1, Start);
      CHECK_FALSE(Keeper.nextOrder(1, Start));
    }
    SECTION("and counts the accepted order") {
      Keeper.noteAnswer(OrderAnswer::Accepted, Start);
      CHECK(Keeper.ordersAccepted() == 4);
      auto ReadyAt = Keeper.want("a2", 1, Start);
      REQUIRE(ReadyAt);
      CHECK(*ReadyAt == Start + 250ms);
      SECTION("but takes no older report for the truth") {
        CHECK_FALSE(Keeper.adopt(reportOf(3, {{"a1", 1}}), Start + 50ms));
        CHECK(Keeper.ordersAccepted() == 4);
        CHECK(Keeper.places().contains("a2"));
      }
    }
    SECTION("and gives one without answer again, as void as the first") {
      Keeper.noteAnswer(OrderAnswer::Unknown, Start);
      auto Again = Keeper.nextOrder(1, Start);
      REQUIRE(Again);
      CHECK(Again->Adapter_ == "a2");
      CHECK(Again->ExpectedOrders_ == 3);
      SECTION("so that one carried out late can't exceed the places") {
        // The engine has counted the late order and refuses this one.
        Keeper.noteAnswer(OrderAnswer::Conflict, Start);
        CHECK(Keeper.needsReport());
        CHECK_FALSE(Keeper.nextOrder(1, Start));
        // The next one expects the engine's own count.
        REQUIRE(Keeper.adopt(reportOf(4, {{"a1", 1}, {"a2", 1}}), Start + 1s));
        Keeper.want("a3", 1, Start + 5s);
        auto Next = Keeper.nextOrder(1, Start + 5s);
        REQUIRE(Next);
        CHECK(Next->Kind_ == OrderKind::UnloadAdapter);
        CHECK(Next->ExpectedOrders_ == 4);
      }
    }
  }
  SECTION("drops the adapter that was used longest ago when places are full") {
    EngineKeeper Full = keeperOf(2, {{"a1", 1}, {"a2", 1}});
    TimePoint Later = Start + 10s;
    Full.noteUse("a1", Later - 2s);
    Full.want("a3", 1, Later);
    auto Order = Full.nextOrder(1, Later);
    REQUIRE(Order);
    CHECK(Order->Kind_ == OrderKind::UnloadAdapter);
    CHECK(Order->Adapter_ == "a2");
    SECTION("but none that requests use") {
      EngineKeeper Busy = keeperOf(2, {{"a1", 1}, {"a2", 1}});
      Busy.noteUse("a1", Later);
      Busy.noteUse("a2", Later);
      Busy.want("a3", 1, Later);
      CHECK_FALSE(Busy.nextOrder(1, Later));
    }
  }
  SECTION("serves wants in the order of their coming, repeated or not") {
    EngineKeeper Wide = keeperOf(20, {});
    Wide.want("b1", 1, Start);
    Wide.want("b2", 1, Start + 10ms);
    Wide.want("b1", 1, Start + 20ms);
    CHECK(Wide.nextOrder(1, Start + 30ms)->Adapter_ == "b1");
  }
  SECTION("lets loads from the weight store wait while it is busy") {
    EngineKeeper Wide = keeperOf(20, {{"b1", 1}});
    // b1 was held lately, so that it comes back without the store.
    Wide.adopt(reportOf(4, {}), Start);
    Wide.want("b2", 1, Start);
    CHECK_FALSE(Wide.nextOrder(2, Start));
    Wide.want("b1", 1, Start + 1ms);
    CHECK(Wide.nextOrder(2, Start + 1ms)->Adapter_ == "b1");
  }
  SECTION("has no more in transit than the engine takes") {
    EngineKeeper Wide = keeperOf(20, {});
    for (int Index = 0; Index < 6; ++Index)
      Wide.want("b" + std::to_string(Index), 1, Start);
    for (int Index = 0; Index < 4; ++Index) {
      REQUIRE(Wide.nextOrder(1, Start));
      Wide.noteAnswer(OrderAnswer::Accepted, Start);
    }
    CHECK_FALSE(Wide.nextOrder(1, Start));
    CHECK(Wide.nextOrder(1, Start + 251ms));
  }
  SECTION("replaces an old version") {
    Keeper.noteUse("a1", Start + 1s);
    Keeper.noteVersion("a1", 2, Start + 4s);
    SECTION("once no request runs on it") {
      CHECK_FALSE(Keeper.nextOrder(1, Start + 1s));
      auto Order = Keeper.nextOrder(1, Start + 2s);
      REQUIRE(Order);
      CHECK(Order->Version_ == 2);
    }
    SECTION("and by its bound at the latest") {
      Keeper.noteUse("a1", Start + 4s);
      CHECK(Keeper.nextOrder(1, Start + 4s));
    }
  }
}
