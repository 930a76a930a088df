#include "Evacuation/ColdStarts.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

/// The cold time and the rate of the only service with cold starts.
static constexpr Duration ColdTime = 8s;
static constexpr double ColdRate = 13;

static ColdStarts makeColdStarts() {
  ServicePlan Cold;
  Cold.Name_ = "engines";
  Cold.ColdStart_ = ColdStartPlan{ColdTime, ColdRate};
  ServicePlan Plain;
  Plain.Name_ = "plain";
  ColdStarts Decisions;
  Decisions.setPlan(ServingPlan(1, {}, {Cold, Plain}, {}, {}));
  return Decisions;
}

static RegisteredTarget entry(std::int64_t Incarnation,
                              std::optional<Duration> ColdRemaining = {}) {
  RegisteredTarget Target;
  Target.Id_ = "e1";
  Target.Incarnation_ = Incarnation;
  Target.Service_ = "engines";
  Target.DataCentre_ = "east";
  Target.ColdRemaining_ = ColdRemaining;
  return Target;
}

TEST_CASE("an engine that has just started gets requests at its cold rate only",
          "[cold]") {
  ColdStarts Decisions = makeColdStarts();
  auto ColdAt = [&](Duration After, std::int64_t Incarnation = 1) {
    auto Rate = Decisions.rateOf("e1", Incarnation, Start + After);
    CHECK((!Rate || *Rate == ColdRate));
    return Rate.has_value();
  };

  SECTION("as long as its entry says") {
    auto Change = Decisions.recordEntry(entry(1, 3s), false, Start);
    REQUIRE(Change);
    CHECK(Change->IsCold_);
    CHECK(Change->Remaining_ == Duration(3s));
    CHECK(Change->RequestsPerSecond_ == ColdRate);
    CHECK(ColdAt(2999ms));
    CHECK_FALSE(ColdAt(3s));
    SECTION("which is reported once") {
      CHECK_FALSE(Decisions.recordEntry(entry(1, 2s), false, Start + 1s));
      CHECK(Decisions.expire(Start + 2s).empty());
      auto Elapsed = Decisions.expire(Start + 3s);
      REQUIRE(Elapsed.size() == 1);
      CHECK_FALSE(Elapsed[0].IsCold_);
      CHECK(Elapsed[0].Sign_ == ColdSign::Elapsed);
      CHECK(Decisions.expire(Start + 4s).empty());
    }
    SECTION("or until its entry says that it is warm") {
      auto Warm = Decisions.recordEntry(entry(1, 0s), false, Start + 1s);
      REQUIRE(Warm);
      CHECK_FALSE(Warm->IsCold_);
      CHECK_FALSE(ColdAt(1s));
    }
    SECTION("and again if it becomes cold again at any moment") {
      Decisions.recordEntry(entry(1, 0s), false, Start + 1s);
      CHECK(Decisions.recordEntry(entry(1, 5s), false, Start + 2s));
      CHECK(ColdAt(6900ms));
    }
    SECTION("and an older entry, read late, changes nothing") {
      Decisions.recordEntry(entry(2, 8s), true, Start + 1s);
      Decisions.recordEntry(entry(1, 0s), false, Start + 2s);
      CHECK(ColdAt(2s, 2));
      CHECK_FALSE(ColdAt(2s, 1));
    }
  }
  SECTION("for the service's time if a start is seen and its entry says "
          "nothing") {
    Decisions.recordEntry(entry(1), true, Start);
    CHECK(ColdAt(ColdTime - 1ms));
    CHECK_FALSE(ColdAt(ColdTime));
    SECTION("or until its entry says that it is warm") {
      Decisions.recordEntry(entry(1, 0s), false, Start + 2s);
      CHECK_FALSE(ColdAt(2s));
    }
    SECTION("and the next incarnation anew") {
      CHECK_FALSE(ColdAt(1s, 2));
      Decisions.recordEntry(entry(2), true, Start + 5s);
      CHECK(ColdAt(5s + ColdTime - 1ms, 2));
    }
  }
  SECTION("but not if the entry of its new incarnation says that it is warm") {
    CHECK_FALSE(Decisions.recordEntry(entry(1, 0s), true, Start));
    CHECK_FALSE(ColdAt(0s));
  }
  SECTION("nor on the VM's first read of the list") {
    CHECK_FALSE(Decisions.recordEntry(entry(1), false, Start));
    CHECK_FALSE(ColdAt(0s));
  }
  SECTION("when it is reached again, was seen to crash or gets requests after "
          "an evacuation") {
    auto Sign =
        GENERATE(ColdSign::Reachable, ColdSign::Crash, ColdSign::EvacuationEnd);
    auto Change = Decisions.recordReturn(entry(1), Sign, Start);
    REQUIRE(Change);
    CHECK(Change->Sign_ == Sign);
    CHECK(ColdAt(ColdTime - 1ms));
    CHECK_FALSE(ColdAt(ColdTime));
    SECTION("although its entry, written before, still says that it is warm") {
      Decisions.recordEntry(entry(1, 0s), false, Start + 1s);
      CHECK(ColdAt(1s));
    }
    SECTION("until its entry has said that it was cold and now is warm") {
      Decisions.recordEntry(entry(1, 4s), false, Start + 1s);
      CHECK(ColdAt(1s));
      Decisions.recordEntry(entry(1, 0s), false, Start + 3s);
      CHECK_FALSE(ColdAt(3s));
    }
    SECTION("until it answers that it is warm") {
      Decisions.recordResponse(entry(1), 0s, Start - 1ms, Start + 1s);
      CHECK(ColdAt(1s));
      Decisions.recordResponse(entry(1), 0s, Start + 1s, Start + 2s);
      CHECK_FALSE(ColdAt(2s));
    }
  }
  SECTION("when an answer says so") {
    CHECK(Decisions.recordResponse(entry(1), 2s, Start, Start));
    CHECK(ColdAt(1999ms));
    CHECK_FALSE(ColdAt(2s));
    SECTION("although its entry, written before, still says that it is warm") {
      Decisions.recordEntry(entry(1, 0s), false, Start + 1s);
      CHECK(ColdAt(1999ms));
    }
    SECTION("until its entry has said that it was cold and now is warm") {
      Decisions.recordEntry(entry(1, 1s), false, Start + 1s);
      Decisions.recordEntry(entry(1, 0s), false, Start + 1500ms);
      CHECK_FALSE(ColdAt(1500ms));
    }
  }
}

TEST_CASE("the end of an evacuation", "[cold]") {
  ColdStarts Decisions = makeColdStarts();
  TargetRoster Roster;
  std::vector<RegisteredTarget> Listed;
  for (const char *Where : {"east", "west"})
    for (const char *Of : {"engines", "plain"}) {
      RegisteredTarget Target = entry(1);
      Target.Id_ = std::string(Of) + "-" + Where;
      Target.Service_ = Of;
      Target.DataCentre_ = Where;
      Listed.push_back(Target);
    }
  Roster.applyList(Listed, Start);
  auto Changes = Decisions.recordDataCentreReturned(Roster, "east", Start);
  SECTION("makes the targets of the data centre and of services with cold "
          "starts cold") {
    REQUIRE(Changes.size() == 1);
    CHECK(Changes[0].Target_ == "engines-east");
    CHECK(Changes[0].Sign_ == ColdSign::EvacuationEnd);
    CHECK(Decisions.rateOf("engines-east", 1, Start));
    CHECK_FALSE(Decisions.rateOf("engines-west", 1, Start));
    CHECK_FALSE(Decisions.rateOf("plain-east", 1, Start));
  }
}

TEST_CASE("a wrong statement of a target does little harm", "[cold]") {
  ColdStarts Decisions = makeColdStarts();
  constexpr Duration MostCold = ColdTime * ColdStarts::MaxStatedColdTimes;
  SECTION("if it states hours, once or again and again") {
    for (Duration After{}; After < MostCold + 60s; After += 1s)
      Decisions.recordEntry(entry(1, 24h), false, Start + After);
    CHECK(Decisions.rateOf("e1", 1, Start + MostCold - 1ms));
    CHECK_FALSE(Decisions.rateOf("e1", 1, Start + MostCold));
    CHECK_FALSE(Decisions.rateOf("e1", 1, Start + MostCold + 60s));
    SECTION("and a right one counts again") {
      Decisions.recordEntry(entry(1, 5s), false, Start + MostCold + 60s);
      CHECK(Decisions.rateOf("e1", 1, Start + MostCold + 64s));
    }
  }
  SECTION("if it states a negative time or its service has no cold starts") {
    RegisteredTarget Plain = entry(1, 5s);
    Plain.Service_ = "plain";
    CHECK_FALSE(Decisions.recordEntry(Plain, true, Start));
    CHECK_FALSE(Decisions.recordResponse(Plain, 5s, Start, Start));
    CHECK_FALSE(Decisions.recordReturn(Plain, ColdSign::Reachable, Start));
    CHECK_FALSE(Decisions.recordEntry(entry(1, -5s), false, Start));
    CHECK(Decisions.size() == 0);
  }
}

TEST_CASE("what is known of cold targets does not grow", "[cold]") {
  ColdStarts Decisions = makeColdStarts();
  for (int Number = 0; Number < 200; ++Number) {
    RegisteredTarget Target =
        entry(1, Number % 2 ? std::optional(Duration(2s)) : std::nullopt);
    Target.Id_ = std::to_string(Number);
    Decisions.recordEntry(Target, true, Start);
  }
  CHECK(Decisions.size() == 200);
  CHECK(Decisions.expire(Start + 70s).size() == 200);
  CHECK(Decisions.size() == 0);
  SECTION("and ends with a target that has left") {
    Decisions.recordEntry(entry(1, 5s), false, Start);
    CHECK(Decisions.isKnown("e1", 1));
    CHECK(Decisions.expire(Start + 5s).size() == 1);
    CHECK_FALSE(Decisions.rateOf("e1", 1, Start + 5s));
    Decisions.expire(Start + 60s);
    CHECK(Decisions.size() == 0);
    CHECK_FALSE(Decisions.isKnown("e1", 1));
  }
  SECTION("and the operator may end cold starts") {
    Decisions.recordEntry(entry(1, 5s), false, Start);
    Decisions.setPlan(ServingPlan(2, {}, {}, {}, {}));
    CHECK_FALSE(Decisions.rateOf("e1", 1, Start));
  }
}
