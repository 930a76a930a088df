#include "Balancing/SpareCapacityChoice.h"

#include <catch2/catch.hpp>

#include <map>

using namespace anvil;
using namespace std::chrono_literals;

static DispatchCandidate plainTarget(const std::string &Id, int Running) {
  DispatchCandidate Candidate;
  Candidate.Id_ = Id;
  Candidate.SameDataCentre_ = true;
  Candidate.Slots_ = 6;
  Candidate.Running_ = Running;
  return Candidate;
}

/// How often each target is chosen over an even grid of random numbers.
static std::map<std::size_t, int>
choices(const std::vector<DispatchCandidate> &Candidates) {
  constexpr int Draws = 1000;
  std::map<std::size_t, int> Counts;
  for (int Draw = 0; Draw < Draws; ++Draw)
    ++Counts[selectBySpareCapacity(Candidates, {},
                                   static_cast<double>(Draw) / Draws)];
  return Counts;
}

TEST_CASE("requests spread in proportion to free slots", "[balancing]") {
  std::vector<DispatchCandidate> Candidates{plainTarget("idle", 0),
                                            plainTarget("half", 3)};
  SECTION("an idle target gets twice what a half full one gets") {
    auto Counts = choices(Candidates);
    CHECK(Counts[0] == Approx(667).margin(2));
    CHECK(Counts[1] == Approx(333).margin(2));
  }
  SECTION("a full target still gets some, since its load may have passed") {
    Candidates.push_back(plainTarget("full", 40));
    CHECK(choices(Candidates)[2] > 0);
  }
  SECTION("a target that fails requests gets none") {
    Candidates[0].FailureShare_ = 0.5;
    CHECK(choices(Candidates)[0] == 0);
  }
  SECTION("a target that answers late gets none") {
    Candidates[0].ExcessLatency_ = 200ms;
    CHECK(choices(Candidates)[0] == 0);
  }
  SECTION("a target that takes twice as long gets half as much") {
    Candidates[0].SpeedFactor_ = 2;
    CHECK(choices(Candidates)[0] == Approx(500).margin(2));
  }
  SECTION("a cold target, which needs a permit, gets none") {
    Candidates[0].Cold_ = true;
    CHECK(choices(Candidates)[0] == 0);
    SECTION("unless all need one") {
      Candidates[1].Limited_ = true;
      CHECK(choices(Candidates)[0] > 0);
      CHECK(choices(Candidates)[1] > 0);
    }
  }
  SECTION("a target with a limit, which needs a permit, gets none") {
    Candidates[0].Limited_ = true;
    CHECK(choices(Candidates)[0] == 0);
  }
  SECTION("targets that all fail share the requests") {
    for (DispatchCandidate &Candidate : Candidates)
      Candidate.FailureShare_ = 1;
    CHECK(choices(Candidates)[1] > 0);
  }
  SECTION("a target that can't run the request is never chosen") {
    Candidates[0].Readiness_ = AdapterReadiness::Impossible;
    CHECK(choices(Candidates)[1] == 1000);
    Candidates[1].Readiness_ = AdapterReadiness::Impossible;
    CHECK(choices(Candidates)[Candidates.size()] == 1000);
  }
}
