#include "Loading/LoadChecks.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

// Guards against many requests that find the same late load missing at once.
TEST_CASE("requests for an adapter whose load is due", "[loading]") {
  LoadChecks Checks;
  auto Pause = [&](TimePoint Now) {
    return Checks.pauseBefore("engine-1", "a1", Start - 250ms, Now);
  };
  CHECK(Pause(Start) == Duration::zero());
  SECTION("wait while the first one finds out") {
    CHECK(Pause(Start + 5ms) == 15ms);
    CHECK(Checks.pauseBefore("engine-2", "a1", Start - 250ms, Start + 5ms) ==
          Duration::zero());
    SECTION("and are sent once it is served") {
      Checks.recordReply("engine-1", "a1", false);
      CHECK(Pause(Start + 6ms) == Duration::zero());
      CHECK(Pause(Start + 6ms) == Duration::zero());
    }
    SECTION("and the next one finds out if the adapter was missing") {
      Checks.recordReply("engine-1", "a1", true);
      CHECK(Pause(Start + 60ms) == Duration::zero());
      CHECK(Pause(Start + 61ms) > Duration::zero());
    }
    SECTION("but no longer than engines take to refuse") {
      CHECK(Pause(Start + 20ms) == Duration::zero());
      CHECK(Pause(Start + 21ms) == Duration::zero());
    }
  }
  SECTION("don't wait for a load of long ago") {
    CHECK(Pause(Start + 10s) == Duration::zero());
  }
}
