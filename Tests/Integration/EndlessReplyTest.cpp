#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

using namespace anvil;

/// The memory of the smallest machines that `anvild` has to run on, in MB.
static constexpr double MemoryMb = 160;

TEST_CASE("an endless reply does not exhaust a VM's memory",
          "[endless-answer]") {
  EntryFleetPlan Plan;
  Plan.Timeout_ = Millis(4000);
  EntryFleet System(Plan);
  for (const char *Target : {"plain-1", "plain-2"})
    System.control(Target, {{"endless", true}});
  CallerReply Reply = System.call("vm-1", "/once/x", {{"X-Request-Id", "e"}});
  INFO(System.explain("e"));
  CHECK(Reply.Status_ == 502);
  CHECK(System.runCount("e") == 1);
  CHECK(System.at("vm-1").peakMemoryMb() < MemoryMb);
  SECTION("nor does an endless event") {
    for (const char *Target : {"engine-1", "engine-2"})
      System.control(Target, {{"endless", true}});
    CallerReply Stream =
        System.call("vm-1", "/stream/resumable/x",
                    {{"X-Model", "base"}, {"X-Request-Id", "s"}});
    CHECK_FALSE(Stream.Complete_);
    CHECK(System.at("vm-1").peakMemoryMb() < MemoryMb);
  }
  SECTION("and the VM continues to serve") {
    for (const char *Target : {"plain-1", "plain-2"})
      System.control(Target, {{"endless", false}});
    CHECK(System.call("vm-1", "/safe/x").Status_ == 200);
  }
}
