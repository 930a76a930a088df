#include "Serving/BrittleLoad.h"

#include <catch2/catch.hpp>

#include <string>

using namespace anvil;
using namespace std::chrono_literals;

static std::string text(const BrittleLoadPlan &Plan,
                        const BrittleLoadOutcome &Seen) {
  return std::to_string(Plan.Vms_) + " VMs, " + std::to_string(Plan.Engines_) +
         " engines, " + std::to_string(Plan.Load_) + " of the room, seed " +
         std::to_string(Plan.Seed_) + ": " + std::to_string(Seen.Requests_) +
         " requests, " + std::to_string(Seen.Falls_) + " falls, " +
         std::to_string(Seen.Rejections_) + " rejections, " +
         std::to_string(Seen.RoomUsed_) + " used, " +
         std::to_string(Seen.Refused_) + " refused, " +
         std::to_string(Seen.RefusedWithRoom_) + " with room";
}

/// One fall may show each engine's limit.
static std::size_t allowedFalls(const BrittleLoadPlan &Plan) {
  return 2 + Plan.Engines_ / 10;
}

// Guards against LIMIT: engines that must reject too many requests fall over
// one after the other, as what one rejects is sent to the next.
TEST_CASE("many VMs and brittle engines", "[brittle][load]") {
  BrittleLoadPlan Plan;
  auto [Vms, Engines] =
      GENERATE(table<std::size_t, std::size_t>({{8, 4}, {60, 16}, {195, 40}}));
  Plan.Vms_ = Vms;
  Plan.Engines_ = Engines;
  Plan.Load_ = GENERATE(1.0, 1.5, 3.0);
  Plan.Length_ = 10s;

  SECTION("with some room to wait, and with little") {
    Plan.Seed_ = GENERATE(1U, 2U);
    std::tie(Plan.Slots_, Plan.Waiting_, Plan.Rejections_) =
        GENERATE(table<int, int, int>({{6, 4, 5}, {4, 1, 2}}));
    BrittleLoadOutcome Seen = simulateBrittleLoad(Plan);
    INFO(text(Plan, Seen));
    CHECK(Seen.Falls_ == 0);
    CHECK(Seen.RoomUsed_ >= 0.9);
    CHECK(Seen.RefusedWithRoom_ * 100 < Seen.Requests_);
  }
  SECTION("with no room to wait at all") {
    Plan.Waiting_ = 0;
    Plan.Rejections_ = 1;
    BrittleLoadOutcome Seen = simulateBrittleLoad(Plan);
    INFO(text(Plan, Seen));
    CHECK(Seen.Falls_ == 0);
  }
  SECTION("while the VMs that issue places are lost") {
    Plan.IssuerDown_ = {5s, 8s};
    Plan.IssuerLosesState_ = GENERATE(true, false);
    BrittleLoadOutcome Seen = simulateBrittleLoad(Plan);
    INFO(text(Plan, Seen));
    CHECK(Seen.Falls_ <= allowedFalls(Plan));
  }
  SECTION("while a third of the VMs reach no other") {
    Plan.Isolated_ = {4s, 8s};
    BrittleLoadOutcome Seen = simulateBrittleLoad(Plan);
    INFO(text(Plan, Seen));
    CHECK(Seen.Falls_ <= allowedFalls(Plan));
  }
  SECTION("when all VMs start again") {
    Plan.RestartAt_ = 5s;
    BrittleLoadOutcome Seen = simulateBrittleLoad(Plan);
    INFO(text(Plan, Seen));
    CHECK(Seen.Falls_ <= allowedFalls(Plan));
  }
  SECTION("while one in 50 datagrams is lost") {
    Plan.LossShare_ = 0.02;
    BrittleLoadOutcome Seen = simulateBrittleLoad(Plan);
    INFO(text(Plan, Seen));
    CHECK(Seen.Falls_ == 0);
    CHECK(Seen.RoomUsed_ >= 0.8);
  }
}

TEST_CASE("without places, brittle engines fall over", "[brittle][load]") {
  BrittleLoadPlan Plan;
  Plan.Policy_ = BrittlePolicy::Reports;
  Plan.Load_ = 1.5;
  BrittleLoadOutcome Seen = simulateBrittleLoad(Plan);
  INFO(text(Plan, Seen));
  CHECK(Seen.Falls_ > allowedFalls(Plan));
}
