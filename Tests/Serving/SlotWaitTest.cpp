#include "Serving/SlotWait.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("the wait for a slot", "[placement]") {
  SlotWait Waits;
  CHECK(Waits.meanRun("s") == Duration::zero());
  Waits.recordRun("s", 2s);
  REQUIRE(Waits.meanRun("s") == Duration(2s));
  auto Wait = [&](int Running) {
    return Waits.expectedWait("i-1", Running, 32, Waits.meanRun("s"), Start);
  };
  SECTION("is zero while a slot is free") {
    CHECK(Wait(0) == Duration::zero());
    CHECK(Wait(31) == Duration::zero());
  }
  SECTION("grows with the requests ahead") {
    CHECK(Wait(32) == Duration(62500us));
    CHECK(Wait(95) == Duration(4s));
  }
  SECTION("follows the time that requests take") {
    for (int Index = 0; Index < 100; ++Index)
      Waits.recordRun("s", 4s);
    CHECK(Wait(95) > Duration(7900ms));
  }
  SECTION("counts the waiting requests that the target states") {
    Waits.recordQueue("i-1", 48, Start);
    CHECK(Wait(0) == Duration(3s));
    CHECK(Wait(95) == Duration(4s));
    SECTION("for a short time") {
      CHECK(Waits.expectedWait("i-1", 0, 32, 2s, Start + 600ms) ==
            Duration::zero());
    }
  }
  SECTION("beyond the longest holds a request back for a moment") {
    CHECK(holdBeforeSend(3200ms, 3200ms) == Duration::zero());
    CHECK(holdBeforeSend(3201ms, 3200ms) == Duration(20ms));
    CHECK(holdBeforeSend(9s, 3200ms) == Duration(100ms));
  }
}
