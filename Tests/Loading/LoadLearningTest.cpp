#include "Serving/LoadLearning.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

// Guards against a limit of loads in transit that is cut to its minimum because
// loads take longer than assumed, on a store that isn't overloaded.
TEST_CASE("what VMs learn from loads", "[loading]") {
  LoadLearning Learning;
  Learning.setEngines(100);
  double Limit = Learning.limit();
  auto Miss = [&](Duration Age, int Count) {
    TimePoint Now = Start;
    for (int Index = 0; Index < Count; ++Index, Now += 20ms)
      Learning.recordOwn(LoadSource::Store, Age, true, Limit, Now);
  };
  SECTION("leaves the limit of loads as it is if loads are late by little") {
    Miss(250ms, 50);
    CHECK(Learning.limit() == Limit);
    CHECK(Learning.times().expected(LoadSource::Store) > 250ms);
  }
  SECTION("cuts the limit if loads are late by more") {
    Miss(600ms, 50);
    CHECK(Learning.limit() < Limit);
  }
  SECTION("reaches the other VMs") {
    LoadLearning Other;
    Other.setEngines(100);
    Other.recordPeer("vm-1", "1", Learning.report(), Limit, Start);
    SECTION("for loads that are late by little") {
      Miss(250ms, 1);
      Other.recordPeer("vm-1", "1", Learning.report(), Limit, Start);
      CHECK(Other.times().expected(LoadSource::Store) ==
            Learning.times().expected(LoadSource::Store));
    }
    // Guards against loads from one source that change the time expected of
    // the other source at other VMs.
    SECTION("for the source whose loads were late only") {
      Learning.recordOwn(LoadSource::Engine, 25ms, true, Limit, Start);
      CHECK(Learning.report().Counts_.Mistimed_ == 0);
      Learning.recordOwn(LoadSource::Engine, 2ms, false, Limit, Start + 20s);
      CHECK(Learning.report().Counts_.Early_ == 0);
      auto Report = Learning.report();
      Report.EngineLoad_ = 30ms;
      SECTION("not if the store is reported slower") {
        Report.StoreLoad_ = 300ms;
        Other.recordPeer("vm-1", "1", Report, Limit, Start);
        CHECK(Other.times().expected(LoadSource::Store) == 250ms);
        CHECK(Other.times().expected(LoadSource::Engine) == 30ms);
      }
      SECTION("nor if it is reported faster") {
        Report.StoreLoad_ = 200ms;
        Other.recordPeer("vm-1", "1", Report, Limit, Start);
        CHECK(Other.times().expected(LoadSource::Store) == 250ms);
      }
    }
    SECTION("for loads that show an overloaded store") {
      Miss(600ms, 50);
      Other.recordPeer("vm-1", "1", Learning.report(), Limit, Start);
      CHECK(Other.limit() < Limit);
    }
    SECTION("but not what an earlier incarnation counted") {
      Miss(600ms, 50);
      Other.recordPeer("vm-1", "2", Learning.report(), Limit, Start);
      CHECK(Other.limit() == Limit);
      CHECK(Other.times().expected(LoadSource::Store) == 250ms);
    }
  }
  SECTION("doesn't replace a configured limit") {
    Learning.setFixedLimit(20);
    Miss(600ms, 50);
    CHECK(Learning.limit() == 20);
  }
}
