#include "Serving/VersionRequirements.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("published adapter versions", "[versions]") {
  VersionRequirements Versions(3s, 4s);
  CHECK(Versions.newest("base", "a1") == 0);
  REQUIRE(Versions.recordVersion("base", "a1", 2, Start));
  SECTION("are required once their grace period is over") {
    CHECK(Versions.newest("base", "a1") == 2);
    CHECK(Versions.required("base", "a1", Start + 2900ms) == 0);
    CHECK(Versions.required("base", "a1", Start + 3s) == 2);
    CHECK(Versions.required("base", "a2", Start + 3s) == 0);
  }
  SECTION("each have a grace period from their own publication") {
    REQUIRE(Versions.recordVersion("base", "a1", 3, Start + 2s));
    CHECK(Versions.newest("base", "a1") == 3);
    CHECK(Versions.required("base", "a1", Start + 4s) == 2);
    CHECK(Versions.required("base", "a1", Start + 5s) == 3);
  }
  SECTION("make each older one outdated from the first newer one's time") {
    REQUIRE(Versions.recordVersion("base", "a1", 3, Start + 2s));
    CHECK(Versions.outdatedFrom("base", "a1", 1) == Start + 3s);
    CHECK(Versions.outdatedFrom("base", "a1", 2) == Start + 5s);
    CHECK_FALSE(Versions.outdatedFrom("base", "a1", 3));
    CHECK_FALSE(Versions.outdatedFrom("base", "a2", 1));
  }
  // Guards against VERSION: a request waits at a target for longer than was
  // expected when it was sent.
  SECTION("limit how long requests may wait for their start on older ones") {
    REQUIRE(Versions.recordVersion("base", "a1", 3, Start + 2s));
    CHECK(Versions.waitLimit("base", "a1", 1) == Start + 4s);
    CHECK(Versions.waitLimit("base", "a1", 2) == Start + 6s);
    CHECK_FALSE(Versions.waitLimit("base", "a1", 3));
  }
  SECTION("leave the runs on older ones time to end before their replacement") {
    VersionRequirements Draining(3s, 4s, 2s);
    REQUIRE(Draining.recordVersion("base", "a1", 2, Start));
    CHECK(Draining.required("base", "a1", Start + 900ms) == 0);
    CHECK(Draining.required("base", "a1", Start + 1s) == 2);
    CHECK(Draining.outdatedFrom("base", "a1", 1) == Start + 3s);
    CHECK(Draining.waitLimit("base", "a1", 1) == Start + 4s);
  }
  SECTION("are never replaced by older ones") {
    CHECK_FALSE(Versions.recordVersion("base", "a1", 1, Start + 1s));
    CHECK_FALSE(Versions.recordVersion("base", "a1", 2, Start + 1s));
    CHECK(Versions.newest("base", "a1") == 2);
  }
  // Guards against the use of old versions after a start of all VMs: the time
  // of publication is then unknown, so the version must be required at once
  // (incident fresh-8f15 on serenas-norte).
  SECTION("found after a start are required at once") {
    VersionRequirements Restarted(3s, 4s);
    Restarted.recordVersion("base", "a1", 2, std::nullopt);
    CHECK(Restarted.required("base", "a1", Start) == 2);
    CHECK(Restarted.waitLimit("base", "a1", 1) <= Start);
  }
}
