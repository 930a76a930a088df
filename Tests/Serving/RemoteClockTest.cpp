#include "Serving/RemoteClock.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("the date of the reply to a long poll", "[freshness]") {
  RemoteClock Clock;
  // A short call relates the clocks: the remote zero is at `Start` at the
  // earliest.
  CHECK(Clock.recordCall(Start, 0ms, Start + 10ms) == Start);
  SECTION("is when it was sent, not when it was requested") {
    TimePoint SentAt = Clock.recordCall(Start + 1s, 3000ms, Start + 3005ms);
    CHECK(SentAt > Start + 2900ms);
    CHECK(SentAt <= Start + 3005ms);
  }
  SECTION("is when it was requested if the reply carries no remote clock") {
    CHECK(Clock.recordCall(Start + 1s, std::nullopt, Start + 3s) == Start + 1s);
  }
  SECTION("is never later than its arrival") {
    CHECK(Clock.recordCall(Start + 1s, 9000ms, Start + 3s) == Start + 3s);
  }
  SECTION("is computed anew when the remote clock went back") {
    Clock.recordCall(Start + 1s, 3000ms, Start + 3s);
    CHECK(Clock.recordCall(Start + 4s, 10ms, Start + 5s) == Start + 4s);
  }
  SECTION("is available for any time of the remote clock") {
    auto Date = Clock.localTimeOf(3000ms, Start + 4s);
    REQUIRE(Date);
    CHECK(*Date <= Start + 3s);
    CHECK(*Date > Start + 2900ms);
    SECTION("but is never in the future") {
      CHECK(Clock.localTimeOf(9000ms, Start + 4s) == Start + 4s);
    }
    SECTION("but not indefinitely without another call, since clocks drift") {
      CHECK(Clock.needsSync(Start + 60s));
      CHECK_FALSE(Clock.localTimeOf(200s, Start + 200s));
      Clock.recordCall(Start + 200s, 200s, Start + 201s);
      CHECK(Clock.localTimeOf(200s, Start + 201s));
    }
  }
  SECTION("is updated by short calls, not by long ones") {
    Clock.recordCall(Start + 60s, 61s, Start + 61s);
    CHECK(Clock.needsSync(Start + 61s));
    Clock.recordCall(Start + 62s, 62s, Start + 62010ms);
    CHECK_FALSE(Clock.needsSync(Start + 63s));
  }
}
