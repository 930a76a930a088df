#include "Serving/RemoteClock.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("the date of an answer that was awaited for long", "[freshness]") {
  RemoteClock Clock;
  // A short call relates the clocks: remote zero is at Start at the earliest.
  CHECK(Clock.note(Start, 0ms, Start + 10ms) == Start);
  SECTION("is when it was given, not when it was asked for") {
    TimePoint Given = Clock.note(Start + 1s, 3000ms, Start + 3005ms);
    CHECK(Given > Start + 2900ms);
    CHECK(Given <= Start + 3005ms);
  }
  SECTION("is when it was asked for if the remote clock is not told") {
    CHECK(Clock.note(Start + 1s, std::nullopt, Start + 3s) == Start + 1s);
  }
  SECTION("is never later than its coming") {
    CHECK(Clock.note(Start + 1s, 9000ms, Start + 3s) == Start + 3s);
  }
  SECTION("starts anew with a remote clock that went back") {
    Clock.note(Start + 1s, 3000ms, Start + 3s);
    CHECK(Clock.note(Start + 4s, 10ms, Start + 5s) == Start + 4s);
  }
}
