#include "Relay/TargetReach.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

TEST_CASE("how a VM reaches a target") {
  TargetReach Reach;
  TimePoint Start{100s};
  CHECK(Reach.stateOf("t", 1) == ReachState::Direct);

  SECTION("it can't connect") {
    CHECK(Reach.recordLost("t", 1, Start));
    CHECK(Reach.stateOf("t", 1) == ReachState::Seeking);
    SECTION("and is told so again by other requests") {
      CHECK_FALSE(Reach.recordLost("t", 1, Start + 1s));
    }
    SECTION("other VMs connect") {
      Reach.recordRelayed("t", 1);
      CHECK(Reach.stateOf("t", 1) == ReachState::Relayed);
      CHECK(Reach.relayedTargets() == 1);
      SECTION("until it connects again itself") {
        CHECK(Reach.recordRegained("t", 1, Start + 12s) == Duration(12s));
        CHECK(Reach.stateOf("t", 1) == ReachState::Direct);
        CHECK(Reach.lostTargets() == 0);
        CHECK_FALSE(Reach.recordRegained("t", 1, Start + 13s));
      }
      SECTION("until they don't either, and are asked again") {
        Reach.recordSeeking("t", 1);
        CHECK(Reach.stateOf("t", 1) == ReachState::Seeking);
        Reach.recordUnreachable("t", 1);
        CHECK(Reach.stateOf("t", 1) == ReachState::Unreachable);
      }
    }
    SECTION("the target starts again") {
      CHECK(Reach.stateOf("t", 2) == ReachState::Direct);
      SECTION("answers about its earlier life change nothing") {
        CHECK(Reach.recordLost("t", 2, Start + 2s));
        Reach.recordUnreachable("t", 1);
        CHECK(Reach.stateOf("t", 2) == ReachState::Seeking);
        CHECK_FALSE(Reach.recordRegained("t", 1, Start + 3s));
      }
    }
    SECTION("other targets are reached as before") {
      CHECK(Reach.stateOf("u", 1) == ReachState::Direct);
    }
  }
}
