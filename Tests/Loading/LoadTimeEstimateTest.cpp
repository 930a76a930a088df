#include "Loading/LoadTimeEstimate.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

static LoadOutcome outcomeOf(Duration Age, Duration LoadTime,
                             double TransitShare) {
  return {LoadSource::Store, Age, Age < LoadTime, TransitShare, false};
}

/// Sends requests when a load is expected to end, five a second.
static int missesDuring(LoadTimeEstimate &Estimate, Duration LoadTime,
                        double TransitShare, TimePoint &Now, Duration Length) {
  int Misses = 0;
  for (TimePoint End = Now + Length; Now < End; Now += 200ms) {
    Duration Age = Estimate.expected(LoadSource::Store);
    LoadOutcome Outcome = outcomeOf(Age, LoadTime, TransitShare);
    Misses += Outcome.WasMissing_ ? 1 : 0;
    Estimate.recordOutcome(Outcome, Now);
  }
  return Misses;
}

// Guards against a load time that differs from the assumed one: every request
// is sent too early and the store looks overloaded, or all wait in vain.
TEST_CASE("the estimate of load times", "[loading]") {
  LoadTimeEstimate Estimate;
  TimePoint Now = Start;
  auto Expected = [&] { return Estimate.expected(LoadSource::Store); };
  SECTION("starts at the usual load times") {
    CHECK(Expected() == 250ms);
    CHECK(Estimate.expected(LoadSource::Engine) == 25ms);
  }
  SECTION("rises at once when adapters are missing") {
    CHECK(Estimate.recordOutcome(outcomeOf(250ms, 288ms, 0.9), Now) ==
          LateCause::Estimate);
    CHECK(Expected() >= 250ms);
    Estimate.recordOutcome(outcomeOf(Expected(), 288ms, 0.9), Now);
    CHECK(Expected() >= 288ms);
    CHECK(Expected() <= 313ms);
    SECTION("and then requests are on time") {
      CHECK(missesDuring(Estimate, 288ms, 0.9, Now, 5s) == 0);
    }
    SECTION("and others don't miss what one VM found") {
      LoadTimeEstimate Peer;
      Peer.recordPeerRise(LoadSource::Store, Expected(), Now);
      CHECK(Peer.expected(LoadSource::Store) == Expected());
    }
    SECTION("but not the estimate of the other kind of load") {
      CHECK(Estimate.expected(LoadSource::Engine) == 25ms);
    }
  }
  SECTION("near the limit of loads rises by a bounded factor") {
    // Otherwise it would grow together with the limit of a store that takes
    // longer the more loads it has.
    for (int Index = 0; Index < 50; ++Index)
      Estimate.recordOutcome(outcomeOf(Expected(), 10s, 1), Now);
    CHECK(Expected() <= 313ms);
    CHECK(Estimate.recordOutcome(outcomeOf(Expected(), 10s, 1), Now) ==
          LateCause::Store);
  }
  SECTION("at the minimum limit follows a store that is slow") {
    for (int Index = 0; Index < 10; ++Index) {
      LoadOutcome Outcome = outcomeOf(Expected(), 1250ms, 1);
      Outcome.IsLimitMinimal_ = true;
      CHECK(Estimate.recordOutcome(Outcome, Now) != LateCause::Store);
    }
    CHECK(Expected() >= 1250ms);
    SECTION("and falls within seconds once it is fast again") {
      missesDuring(Estimate, 250ms, 0.3, Now, 15s);
      CHECK(Expected() <= 400ms);
    }
    SECTION("and falls at once when a load that is expected early is ready") {
      int Early = 0;
      for (std::uint64_t Number = 0; Number < 80; ++Number)
        Early += Estimate.expectedForLoad(LoadSource::Store, Number) == 250ms;
      // The others wait, so that few sends find their adapter missing.
      CHECK(Early == 27);
      // This one may have ended before the store became slow.
      CHECK(Estimate.recordOutcome(outcomeOf(250ms, 250ms, 0.3), Now) ==
            LateCause::NotLate);
      Now += 300ms;
      CHECK(Estimate.recordOutcome(outcomeOf(250ms, 250ms, 0.3), Now) ==
            LateCause::Early);
      CHECK(Expected() == 300ms);
      SECTION("also at other VMs") {
        LoadTimeEstimate Peer;
        Peer.recordPeerRise(LoadSource::Store, 370ms, Now);
        Peer.recordPeerFall(Expected());
        CHECK(Peer.expected(LoadSource::Store) == 300ms);
      }
    }
  }
  SECTION("takes loads beyond the limit to last longer in proportion") {
    CHECK(Estimate.recordOutcome(outcomeOf(450ms, 500ms, 2), Now) ==
          LateCause::Store);
    CHECK(Expected() == 250ms);
  }
  SECTION("settles on the load time with few misses") {
    auto LoadTime = GENERATE(100ms, 250ms, 288ms, 700ms);
    INFO(LoadTime.count() << " ms");
    missesDuring(Estimate, LoadTime, 0.3, Now, 60s);
    int Misses = missesDuring(Estimate, LoadTime, 0.3, Now, 60s);
    CHECK(Expected() >= 0.8 * LoadTime);
    CHECK(Expected() <= 1.3 * LoadTime);
    // One miss for each time that the estimate is held.
    CHECK(Misses <= 12);
  }
  SECTION("is kept without outcomes") {
    Estimate.recordOutcome(outcomeOf(250ms, 288ms, 0.9), Now);
    Duration Before = Expected();
    Estimate.recordOutcome(outcomeOf(2s, 288ms, 0.9), Now + 1h);
    CHECK(Expected() == Before);
  }
  SECTION("stays in its range whatever is recorded") {
    for (int Index = 0; Index < 100; ++Index) {
      LoadOutcome Outcome = outcomeOf(1h, 2h, 0);
      Estimate.recordOutcome(Outcome, Now);
    }
    CHECK(Expected() <= 5s);
  }
}
