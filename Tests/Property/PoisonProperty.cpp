#include "Routing/CrashConfirmer.h"
#include "Routing/CrashTracker.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>
#include <set>

using namespace anvil;

TEST_CASE("poison requests") {
  rc::prop("exactly the digests of two or more crashes are quarantined, "
           "however often and in whatever order they are reported",
           [](std::uint64_t Seed) {
             std::mt19937_64 Random(Seed);
             CrashTracker Tracker({});
             std::map<std::string, std::set<TargetInstance>> Recorded;
             TimePoint Now{};
             for (int Report = 0; Report < 200; ++Report) {
               Now += std::chrono::milliseconds(Random() % 100);
               std::string Digest = "d" + std::to_string(Random() % 40);
               TargetInstance Instance{"t" + std::to_string(Random() % 3),
                                       "i" + std::to_string(Random() % 5)};
               Recorded[Digest].insert(Instance);
               Tracker.addCrash(Digest, Instance, Now);
               for (const auto &[Known, Crashes] : Recorded)
                 RC_ASSERT(Tracker.isQuarantined(Known, Now) ==
                           (Crashes.size() >= 2));
             }
           });

  rc::prop("the table stays within its limit", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    CrashTrackerOptions Options;
    Options.MaxDigests_ = 5;
    CrashTracker Tracker(Options);
    for (int Report = 0; Report < 50; ++Report)
      Tracker.addCrash("d" + std::to_string(Random() % 30), {"t", "i"},
                       TimePoint(Duration(Report)));
    RC_ASSERT(Tracker.size() <= 5);
  });

  SECTION("a quarantined request") {
    CrashTracker Tracker({});
    TimePoint Now{};
    Tracker.addCrash("poison", {"t1", "a"}, Now);
    Tracker.addCrash("bystander", {"t1", "a"}, Now);
    REQUIRE(Tracker.isSuspect("poison", Now));
    REQUIRE(Tracker.addCrash("poison", {"t2", "b"}, Now));
    REQUIRE(!Tracker.isQuarantined("bystander", Now));
    SECTION("is served again after the quarantine expires") {
      Now += CrashTrackerOptions().QuarantineTime_;
      REQUIRE(!Tracker.isQuarantined("poison", Now));
      REQUIRE(!Tracker.addCrash("poison", {"t3", "c"}, Now));
    }
    SECTION("is known to a VM that is told of its crashes later") {
      CrashTracker Restarted({});
      for (const auto &[Digest, Crashed] : Tracker.evidence(10, Now))
        Restarted.addCrash(Digest, Crashed, Now);
      CHECK(Restarted.quarantined(Now) == Tracker.quarantined(Now));
      CHECK_FALSE(Restarted.isSuspect("bystander", Now));
      CHECK(Tracker.evidence(0, Now).empty());
    }
    SECTION("is served again when an operator clears it") {
      REQUIRE(Tracker.clear("poison"));
      REQUIRE(!Tracker.isSuspect("poison", Now));
    }
  }
  SECTION("two crashes further apart than the suspect time do not quarantine") {
    CrashTracker Tracker({});
    Tracker.addCrash("d", {"t1", "a"}, TimePoint{});
    TimePoint Later = TimePoint{} + CrashTrackerOptions().SuspectTime_;
    REQUIRE(!Tracker.addCrash("d", {"t2", "b"}, Later));
  }
}

TEST_CASE("a connection that breaks during a request") {
  CrashConfirmer Confirmer(std::chrono::seconds(3));
  TimePoint Now{};
  Confirmer.add("d", {"t", "a"}, "x@1", Now);
  IncarnationState State = IncarnationState::Unchanged;
  auto StateOf = [&](const CrashConfirmer::SuspectedCrash &) { return State; };
  REQUIRE(Confirmer.resolve(StateOf, Now).empty());
  REQUIRE(Confirmer.isPending("d"));
  SECTION("is a crash when the target has a new incarnation") {
    State = IncarnationState::Ended;
    REQUIRE(Confirmer.resolve(StateOf, Now).size() == 1);
    REQUIRE(!Confirmer.isPending("d"));
  }
  SECTION("is an ordinary reset when it is not confirmed in time") {
    Now += std::chrono::seconds(3);
    REQUIRE(Confirmer.resolve(StateOf, Now).empty());
    State = IncarnationState::Ended;
    REQUIRE(Confirmer.resolve(StateOf, Now).empty());
  }
}
