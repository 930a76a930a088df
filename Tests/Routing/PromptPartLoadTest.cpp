#include "Routing/PromptPartLoad.h"

#include <catch2/catch.hpp>

using namespace anvil;

/// The deadly requests that may reach targets later than the bound.
static constexpr int MaxLateDeadly = 3;

static PromptPartResult play(PromptPartPlan Plan) {
  INFO("seed " << Plan.Seed_ << ", " << Plan.DeadlyPerSecond_ << " a second, "
               << Plan.Vms_ << " VMs, first: " << Plan.IsDeadlyFirst_
               << ", worked: " << Plan.WorkedBefore_
               << ", cold: " << Plan.IsColdStart_);
  PromptPartResult Result = PromptPartLoad(Plan).run();
  CAPTURE(Result.Crashes_, Result.Sound_, Result.SoundRefused_);
  CHECK(Result.LateDeadly_ <= MaxLateDeadly);
  CHECK(2 * Result.LastSoundRefused_ <= Result.LastSound_);
  return Result;
}

TEST_CASE("a fleet under prompts that crash targets", "[prompt-part]") {
  PromptPartPlan Plan;
  Plan.Seed_ = GENERATE(range(1U, 7U));
  SECTION("stops them and refuses no sound prompt") {
    Plan.DeadlyPerSecond_ = GENERATE(0.3, 0.9, 4.5);
    CHECK(play(Plan).SoundRefused_ == 0);
    SECTION("wherever the part is in the prompt") {
      Plan.IsDeadlyFirst_ = true;
      CHECK(play(Plan).SoundRefused_ == 0);
    }
  }
  SECTION("stops them also where all targets crash within a second") {
    Plan.DeadlyPerSecond_ = GENERATE(18.0, 45.0);
    play(Plan);
  }
  SECTION("stops a part that had worked before") {
    Plan.WorkedBefore_ = true;
    Plan.DeadlyPerSecond_ = GENERATE(0.3, 0.9, 4.5, 18.0);
    play(Plan);
  }
  SECTION("stops them also if nothing is known to work yet") {
    Plan.IsColdStart_ = true;
    Plan.DeadlyPerSecond_ = GENERATE(0.3, 0.9, 4.5, 18.0);
    play(Plan);
  }
  SECTION("stops them while VMs are cut off or start") {
    Plan.CutVms_ = 2;
    Plan.RestartedVms_ = 2;
    play(Plan);
  }
  SECTION("stops them where VMs have few requests each and report rarely") {
    Plan.Vms_ = 40;
    Plan.Targets_ = 78;
    Plan.SoundPerSecond_ = 120;
    Plan.DeadlyPerSecond_ = GENERATE(1.0, 6.0, 30.0);
    Plan.ReportPeriod_ = std::chrono::milliseconds(480);
    CHECK(play(Plan).SoundRefused_ == 0);
  }
}
