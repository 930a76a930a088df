#include "Serving/LimitLoad.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdio>

using namespace anvil;
using namespace std::chrono_literals;

/// The number of requests that the users' rule allows a target with a limit in
/// any four seconds.
static double allowed(double RatePerSecond) {
  return 1.5 * RatePerSecond * 4 + 5;
}

/// The minimum share of its limit that a target under excess demand must get.
static constexpr double MinUsedShare = 0.9;

/// Whether a target under excess demand got its share in an interval, except
/// for a request that arrived just after it.
static bool isLimitUsed(const LimitLoadOutcome &Outcome, double RatePerSecond,
                        Duration From, Duration Until) {
  double Span = toSeconds(Until - From);
  return Outcome.rateWithin(From, Until) * Span >=
         std::floor(MinUsedShare * RatePerSecond * Span);
}

TEST_CASE("many VMs and a target with a limit", "[limits][load]") {
  auto [Vms, DataCentres] =
      GENERATE(table<std::size_t, std::size_t>({{8, 1}, {60, 1}, {195, 5}}));
  auto Rate = GENERATE(0.5, 1.8, 10.0, 50.0);
  LimitLoadPlan Plan;
  Plan.Vms_ = Vms;
  Plan.DataCentres_ = DataCentres;
  Plan.RatePerSecond_ = Rate;
  Plan.DemandPerSecond_ = 10 * Rate;
  Plan.Seed_ = GENERATE(1U, 2U, 3U);
  INFO(Vms << " VMs, " << Rate << " a second, seed " << Plan.Seed_);

  SECTION("use the limit under steady excess demand") {
    Plan.Length_ = 100s;
    LimitLoadOutcome Outcome = simulateLimitLoad(Plan);
    CHECK(Outcome.maxWithin(4s, 0s) <= allowed(Rate));
    CHECK(isLimitUsed(Outcome, Rate, 3s, 100s));
  }
  SECTION("respect the limit in a burst after low demand") {
    Plan.DemandPerSecond_ = Rate / 4;
    Plan.Length_ = 60s;
    Plan.Burst_ = {20s, 60s};
    Plan.BurstFactor_ = 100;
    LimitLoadOutcome Outcome = simulateLimitLoad(Plan);
    CHECK(Outcome.maxWithin(4s, 0s) <= allowed(Rate));
    CHECK(isLimitUsed(Outcome, Rate, 40s, 60s));
  }
  SECTION("respect the limit while the VM that issues permits is down") {
    Plan.IssuerDown_ = {10s, 14s};
    LimitLoadOutcome Outcome = simulateLimitLoad(Plan);
    CHECK(Outcome.maxWithin(4s, 0s) <= allowed(Rate));
    CHECK(isLimitUsed(Outcome, Rate, 16s, 40s));
  }
  SECTION("respect the limit during and after a network partition") {
    Plan.Partition_ = {10s, 20s};
    LimitLoadOutcome Outcome = simulateLimitLoad(Plan);
    CHECK(Outcome.maxWithin(4s, 0s) <= allowed(Rate));
  }
}

TEST_CASE("figures of limits by policy", "[.figures]") {
  std::printf("VMs limit/s policy most-in-4s allowed used\n");
  for (auto [Vms, DataCentres] :
       {std::pair<std::size_t, std::size_t>{8, 1}, {60, 1}, {195, 5}})
    for (double Rate : {0.5, 1.8, 10.0, 50.0})
      for (auto [Policy, Name] : {std::pair{LimitPolicy::Permits, "permits"},
                                  {LimitPolicy::EvenSplit, "even split"},
                                  {LimitPolicy::Ideal, "one bucket"}}) {
        LimitLoadPlan Plan;
        Plan.Policy_ = Policy;
        Plan.Vms_ = Vms;
        Plan.DataCentres_ = DataCentres;
        Plan.RatePerSecond_ = Rate;
        Plan.DemandPerSecond_ = Rate / 4;
        Plan.Length_ = 200s;
        Plan.Burst_ = {150s, 200s};
        Plan.BurstFactor_ = 16;
        LimitLoadOutcome Outcome = simulateLimitLoad(Plan);
        std::printf("%zu %.1f %s %zu %.0f %.2f\n", Vms, Rate, Name,
                    Outcome.maxWithin(4s, 0s), allowed(Rate),
                    Outcome.rateWithin(155s, 200s) / Rate);
      }
}
