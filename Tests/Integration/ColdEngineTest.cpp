#include "Integration/RequestLoad.h"
#include "Kernel/Clock.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace anvil;

/// How long VMs may take to learn that targets are cold.
static constexpr Millis NewsTime{3000};

/// The cold time in seconds, and the requests per second that a cold target
/// takes from all VMs.
static constexpr double ColdTime = 30;
static constexpr double ColdRate = 4;

/// The requests of one second that the users' rule allows.
static constexpr std::size_t MaxPerSecond = 11;

static void writeColdTime(EntryFleet &System, Millis Remaining) {
  for (const char *Target : {"plain-1", "plain-2"})
    System.writeTargetEntry(Target, "ready", 1700000000000, Remaining);
}

TEST_CASE("cold targets get few requests from all VMs until they are warm",
          "[cold-engine]") {
  EntryFleetPlan Plan;
  Plan.PlainColdStart_ = {ColdTime, ColdRate};
  EntryFleet System(Plan);
  RequestLoad Load(System, "/safe/x", {}, 6);
  std::this_thread::sleep_for(Millis(1000));
  writeColdTime(System, Millis(30000));
  std::int64_t InForceFrom =
      (BootClock::now().time_since_epoch() + NewsTime).count();
  std::this_thread::sleep_for(NewsTime + Millis(4000));

  std::size_t Before = 0;
  for (const char *Target : {"plain-1", "plain-2"}) {
    INFO(Target);
    auto Times = arrivalTimes(System, Target);
    Before += Times.size();
    CHECK(maxArrivalsWithin(Times, Millis(1000), 0) > MaxPerSecond);
    std::size_t MostWhileCold =
        maxArrivalsWithin(Times, Millis(1000), InForceFrom);
    CHECK(MostWhileCold > 0);
    CHECK(MostWhileCold <= MaxPerSecond);
  }
  writeColdTime(System, Millis(0));
  CHECK(eventually(
      [&] {
        return arrivalTimes(System, "plain-1").size() +
                   arrivalTimes(System, "plain-2").size() >
               Before + 200;
      },
      Millis(15000)));
  auto Runs = System.records("run");
  for (const auto &[Id, Reply] : Load.finish()) {
    INFO(Id);
    CHECK((Reply.Status_ == 200 || Reply.Status_ == 503));
    if (Reply.Status_ == 503)
      CHECK(std::ranges::none_of(Runs, [&Sought = Id](const auto &Run) {
        return Run["headers"].value("x-request-id", "") == Sought;
      }));
  }
}
