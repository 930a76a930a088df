#include "Serving/UnansweredOrders.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("orders without a response", "[placement]") {
  UnansweredOrders Orders(15s);
  SECTION("add nothing when the order in their place is executed") {
    Orders.recordSent("a1", 7, Start);
    Orders.recordSent("a2", 7, Start);
    CHECK(Orders.maxAdded(7, 7, {}, Start) == 0);
    CHECK(Orders.maxAdded(8, 8, {}, Start) == 0);
    SECTION("unless the engine may be behind") {
      CHECK(Orders.maxAdded(7, 8, {}, Start) == 1);
    }
  }
  SECTION("that expect more orders are executed once the engine has them") {
    Orders.recordSent("a1", 8, Start);
    CHECK(Orders.maxAdded(7, 7, {}, Start) == 1);
    SECTION("until their time is over") {
      CHECK(Orders.maxAdded(7, 7, {}, Start + 14s) == 1);
      CHECK(Orders.maxAdded(7, 7, {}, Start + 15s) == 0);
    }
    SECTION("and only one of those that expect the same") {
      Orders.recordSent("a2", 8, Start);
      CHECK(Orders.maxAdded(7, 7, {}, Start) == 1);
    }
    SECTION("one after the other, however often each was sent") {
      Orders.recordSent("a2", 9, Start);
      Orders.recordSent("a2", 10, Start);
      CHECK(Orders.maxAdded(7, 7, {}, Start) == 2);
    }
    SECTION("but not where one between them is missing") {
      Orders.recordSent("a2", 10, Start);
      CHECK(Orders.maxAdded(7, 7, {}, Start) == 1);
      CHECK(Orders.maxAdded(8, 8, {}, Start) == 0);
      CHECK(Orders.maxAdded(9, 9, {}, Start) == 1);
    }
  }
  SECTION("that replace what is held add nothing, but take its place later") {
    Orders.recordSent("a1", 8, Start);
    CHECK(Orders.maxAdded(7, 7, {"a1", "a2"}, Start) == 0);
    CHECK(Orders.maxAdded(7, 7, {"a2"}, Start) == 1);
  }
  SECTION("that unload an adapter let the next ones be executed") {
    Orders.recordSent("", 8, Start);
    Orders.recordSent("a1", 9, Start);
    CHECK(Orders.maxAdded(7, 7, {}, Start) == 1);
  }
  SECTION("are off the books once there is a response") {
    auto Number = Orders.recordSent("a1", 8, Start);
    Orders.recordResponse(Number);
    CHECK(Orders.maxAdded(7, 7, {}, Start) == 0);
    CHECK(Orders.count(Start) == 0);
  }
  SECTION("that a predecessor sent may be one beyond the engine's count") {
    Orders.recordPredecessor(Start);
    CHECK(Orders.maxAdded(7, 7, {}, Start) == 1);
    SECTION("until the count has passed it") {
      Orders.recordCertainCount(8, Start);
      CHECK(Orders.maxAdded(8, 8, {}, Start) == 1);
      CHECK(Orders.maxAdded(9, 9, {}, Start) == 0);
      SECTION("and again after a restart of the engine") {
        Orders.recordRestart();
        CHECK(Orders.maxAdded(0, 0, {}, Start) == 1);
      }
    }
    SECTION("until their time is over") {
      CHECK(Orders.maxAdded(7, 7, {}, Start + 15s) == 0);
    }
  }
}
