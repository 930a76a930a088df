#include "Routing/CrashConfirmer.h"
#include "Routing/CrashTracker.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <random>
#include <set>

using namespace anvil;

TEST_CASE("poison requests") {
  rc::prop("only digests of two different crashes are quarantined, and of "
           "those every one, however often and in whatever order it is told",
           [](std::uint64_t Seed) {
             std::mt19937_64 Random(Seed);
             CrashTracker Tracker({});
             std::map<std::string, std::set<TargetLife>> Seen;
             TimePoint Now{};
             for (int News = 0; News < 200; ++News) {
               Now += std::chrono::milliseconds(Random() % 100);
               std::string Digest = "d" + std::to_string(Random() % 40);
               TargetLife Life{"t" + std::to_string(Random() % 3),
                               "i" + std::to_string(Random() % 5)};
               Seen[Digest].insert(Life);
               Tracker.note(Digest, Life, Now);
               for (const auto &[Known, Crashes] : Seen)
                 RC_ASSERT(Tracker.isQuarantined(Known, Now) ==
                           (Crashes.size() >= 2));
             }
           });

  rc::prop("the table stays within its limit", [](std::uint64_t Seed) {
    std::mt19937_64 Random(Seed);
    CrashTrackerOptions Options;
    Options.MostDigests_ = 5;
    CrashTracker Tracker(Options);
    for (int News = 0; News < 50; ++News)
      Tracker.note("d" + std::to_string(Random() % 30), {"t", "i"},
                   TimePoint(Duration(News)));
    RC_ASSERT(Tracker.size() <= 5);
  });

  SECTION("a quarantined request") {
    CrashTracker Tracker({});
    TimePoint Now{};
    Tracker.note("poison", {"t1", "a"}, Now);
    Tracker.note("bystander", {"t1", "a"}, Now);
    REQUIRE(Tracker.isSuspect("poison", Now));
    REQUIRE(Tracker.note("poison", {"t2", "b"}, Now));
    REQUIRE(!Tracker.isQuarantined("bystander", Now));
    SECTION("is served again after its time") {
      Now += CrashTrackerOptions().QuarantineTime_;
      REQUIRE(!Tracker.isQuarantined("poison", Now));
      REQUIRE(!Tracker.note("poison", {"t3", "c"}, Now));
    }
    SECTION("is served again when an operator clears it") {
      REQUIRE(Tracker.clear("poison"));
      REQUIRE(!Tracker.isSuspect("poison", Now));
    }
  }
  SECTION("two crashes far apart are no sign of poison") {
    CrashTracker Tracker({});
    Tracker.note("d", {"t1", "a"}, TimePoint{});
    TimePoint Later = TimePoint{} + CrashTrackerOptions().SuspectTime_;
    REQUIRE(!Tracker.note("d", {"t2", "b"}, Later));
  }
}

TEST_CASE("a connection that breaks under a request") {
  CrashConfirmer Doubts(std::chrono::seconds(3));
  TimePoint Now{};
  Doubts.add("d", {"t", "a"}, "x@1", Now);
  LifeSign Sign = LifeSign::Same;
  auto Look = [&](const CrashConfirmer::Doubt &) { return Sign; };
  REQUIRE(Doubts.settle(Look, Now).empty());
  REQUIRE(Doubts.holds("d"));
  SECTION("is a crash when the target comes back in another life") {
    Sign = LifeSign::Ended;
    REQUIRE(Doubts.settle(Look, Now).size() == 1);
    REQUIRE(!Doubts.holds("d"));
  }
  SECTION("is an ordinary reset when nothing confirms it in time") {
    Now += std::chrono::seconds(3);
    REQUIRE(Doubts.settle(Look, Now).empty());
    Sign = LifeSign::Ended;
    REQUIRE(Doubts.settle(Look, Now).empty());
  }
}
