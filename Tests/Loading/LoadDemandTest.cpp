#include "Loading/LoadDemand.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

// Guards against loads in the order of their first requests, in which those
// with time to spare make the others late.
TEST_CASE("the order of queued loads", "[loading]") {
  TimePoint Now = Start + 100ms;
  auto Priority = [&](LoadDemand Demand, TimePoint FirstAt = Start) {
    return loadPriority(Demand, FirstAt, 250ms, true, Now);
  };
  LoadDemand Usual{3, Start + 1s, 1};
  SECTION("prefers requests with less time to their latency target") {
    CHECK(Priority({3, Start + 500ms, 1}) < Priority(Usual));
  }
  SECTION("prefers urgent requests") {
    CHECK(Priority({0, Start + 1s, 1}) < Priority(Usual));
  }
  SECTION("prefers adapters that more requests wait for") {
    CHECK(Priority({3, Start + 1s, 2}) < Priority(Usual));
  }
  SECTION("prefers requests that can still be on time to late ones") {
    CHECK(Priority(Usual) < Priority({0, Start + 200ms, 9}));
  }
  SECTION("puts loads last that no request waits for") {
    CHECK(Priority({9, Start, 1}) < Priority({}));
    CHECK(Priority({}, Start) < Priority({}, Start + 1ms));
  }
  SECTION("lets no load starve") {
    Now = Start + 2s;
    CHECK(Priority({9, Start + 10s, 1}) <
          Priority({0, Now + 300ms, 50}, Start + 1s));
    CHECK(Priority({9, Start + 10s, 1}, Start) <
          Priority({0, Now, 50}, Start - 1ms + 5ms));
  }
}

TEST_CASE("the requests that wait for an adapter", "[loading]") {
  WaitingRequests Waiting;
  CHECK(Waiting.demandFor("a1").Waiting_ == 0);
  Waiting.add("a1", 5, Start + 1s);
  Waiting.add("a1", 2, Start + 2s);
  CHECK(Waiting.demandFor("a1").Rank_ == 2);
  CHECK(Waiting.demandFor("a1").AimAt_ == Start + 1s);
  CHECK(Waiting.demandFor("a1").Waiting_ == 2);
  SECTION("are forgotten when they stop waiting") {
    Waiting.remove("a1", 5, Start + 1s);
    CHECK(Waiting.demandFor("a1").AimAt_ == Start + 2s);
    Waiting.remove("a1", 2, Start + 2s);
    CHECK(Waiting.adapters() == 0);
  }
}
