#include "Serving/LimitLoad.h"
#include "Serving/UpdateSchedule.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <cstdio>

using namespace anvil;
using namespace std::chrono_literals;

/// The requests in one second that the users' rule (FAILBACK) allows at a cold
/// engine.
static double allowed(double RatePerSecond) { return 1.5 * RatePerSecond + 5; }

/// The age that permits may reach.
static constexpr Duration MaxPermitAge = 200ms;

/// The minimum share of its rate that a cold engine under excess demand gets,
/// except for a request that arrives just after the interval; as for targets
/// that name a limit.
static constexpr double MinUsedShare = 0.9;

/// All VMs choose an engine that has just come back. The engines of a data
/// centre that come back at once have permits each for itself, so the seeds are
/// those engines.
static LimitLoadPlan coldPlan(std::size_t Vms, std::size_t DataCentres,
                              double Rate, unsigned Seed) {
  LimitLoadPlan Plan;
  Plan.Vms_ = Vms;
  Plan.DataCentres_ = DataCentres;
  Plan.Cold_ = true;
  Plan.MaxPermitAge_ = MaxPermitAge;
  Plan.MaxNewsAge_ = updatePeriod(Vms / DataCentres);
  Plan.RatePerSecond_ = Rate;
  Plan.DemandPerSecond_ = 10 * Rate;
  Plan.Length_ = 20s;
  Plan.Seed_ = Seed;
  return Plan;
}

TEST_CASE("many VMs and the cold engines of a data centre", "[cold][load]") {
  auto [Vms, DataCentres] = GENERATE(table<std::size_t, std::size_t>(
      {{8, 1}, {60, 1}, {60, 3}, {195, 3}, {195, 5}}));
  auto Rate = GENERATE(2.0, 13.0, 50.0);
  LimitLoadPlan Plan =
      coldPlan(Vms, DataCentres, Rate, GENERATE(range(1U, 6U)));
  INFO(Vms << " VMs, " << DataCentres << " data centres, " << Rate
           << " a second, seed " << Plan.Seed_);
  auto StaysWithinRule = [&](const LimitLoadOutcome &Outcome) {
    CHECK(static_cast<double>(Outcome.maxWithin(1s, 0s)) <= allowed(Rate));
  };

  SECTION("use their rate and get no more than the rule allows") {
    LimitLoadOutcome Outcome = simulateLimitLoad(Plan);
    StaysWithinRule(Outcome);
    double Span = 15;
    CHECK(Outcome.rateWithin(5s, 20s) * Span >=
          std::floor(MinUsedShare * Rate * Span));
  }
  SECTION("get no more when demand returns after permits were left over") {
    Plan.DemandPerSecond_ = Rate / 4;
    Plan.Burst_ = {10s, 20s};
    Plan.BurstFactor_ = 100;
    StaysWithinRule(simulateLimitLoad(Plan));
  }
  SECTION("get no more when the issuer is killed and starts again") {
    Plan.IssuerDown_ = {5s, 9s};
    StaysWithinRule(simulateLimitLoad(Plan));
  }
  SECTION("get no more when the issuer is frozen and wakes") {
    Plan.IssuerDown_ = {5s, 9s};
    Plan.IssuerFrozen_ = true;
    StaysWithinRule(simulateLimitLoad(Plan));
  }
  SECTION("get no more when a third of the VMs is frozen and wakes") {
    Plan.Frozen_ = {5s, 9s};
    StaysWithinRule(simulateLimitLoad(Plan));
  }
  SECTION("get no more when a third of the VMs is cut off and comes back") {
    Plan.Partition_ = {5s, 9s};
    StaysWithinRule(simulateLimitLoad(Plan));
  }
  SECTION("get no more when every VM is cut off from every other one") {
    Plan.Isolation_ = {5s, 15s};
    Plan.Isolated_ = Vms;
    StaysWithinRule(simulateLimitLoad(Plan));
  }
  SECTION("get no more when a VM starts that becomes the issuer") {
    Plan.IssuerDown_ = {0s, 8s};
    StaysWithinRule(simulateLimitLoad(Plan));
  }
}

TEST_CASE("figures of cold engines", "[.figures]") {
  std::printf("VMs data-centres cold/s most-in-1s allowed used\n");
  for (auto [Vms, DataCentres] :
       {std::pair<std::size_t, std::size_t>{8, 1}, {60, 3}, {195, 5}})
    for (double Rate : {2.0, 13.0, 50.0}) {
      LimitLoadOutcome Outcome =
          simulateLimitLoad(coldPlan(Vms, DataCentres, Rate, 1));
      std::printf("%zu %zu %.0f %zu %.1f %.2f\n", Vms, DataCentres, Rate,
                  Outcome.maxWithin(1s, 0s), allowed(Rate),
                  Outcome.rateWithin(5s, 20s) / Rate);
    }
}
