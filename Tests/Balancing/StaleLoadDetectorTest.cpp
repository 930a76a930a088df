#include "Balancing/StaleLoadDetector.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

/// Records requests at an even rate for 20 s and returns when they end.
static TimePoint recordRequests(StaleLoadDetector &Detector, Duration Gap) {
  TimePoint Now{1000s};
  for (TimePoint End = Now + 20s; Now < End; Now += Gap)
    Detector.recordRequest("plain", Now);
  return Now;
}

TEST_CASE("reported loads are out of date when many requests pass unreported",
          "[balancing]") {
  StaleLoadDetector Detector;
  constexpr int Slots = 6;
  SECTION("eight VMs that report every 100 ms know what runs") {
    TimePoint Now = recordRequests(Detector, 180ms);
    CHECK_FALSE(Detector.isStale("plain", {8, 100ms}, Slots, Now));
  }
  SECTION("a VM without others knows what runs") {
    TimePoint Now = recordRequests(Detector, 1ms);
    CHECK_FALSE(Detector.isStale("plain", {1, 100ms}, Slots, Now));
  }
  SECTION("sixty VMs that report every 240 ms don't") {
    TimePoint Now = recordRequests(Detector, 300ms);
    CHECK(Detector.isStale("plain", {60, 240ms}, Slots, Now));
    SECTION("until their requests become rare") {
      CHECK_FALSE(Detector.isStale("plain", {60, 240ms}, Slots, Now + 10s));
    }
    SECTION("which says nothing about another service") {
      CHECK_FALSE(Detector.isStale("engines", {60, 240ms}, Slots, Now));
    }
    SECTION("unless the targets have many slots") {
      CHECK_FALSE(Detector.isStale("plain", {60, 240ms}, 100, Now));
    }
  }
}
