#include "Serving/UpdateSchedule.h"
#include "Serving/FleetView.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("updates sent at the period for the fleet's size", "[fleet][news]") {
  for (std::size_t Receivers : {7, 15, 26, 38, 60, 194, 999}) {
    Duration Period = updatePeriod(Receivers);
    FleetView View;
    std::uint64_t Sequence = 0;
    auto SendAll = [&](TimePoint At) {
      for (std::size_t Vm = 0; Vm < Receivers; ++Vm) {
        VmStateUpdate Update;
        Update.Vm_ = "vm-" + std::to_string(Vm);
        Update.Period_ = Period;
        Update.Sequence_ = ++Sequence;
        Update.Running_["e1"] = {1, 100, {}};
        View.apply(Update, At);
      }
    };
    INFO(Receivers << " VMs, an update every " << toMillis(Period) << " ms");
    SendAll(Start);
    SECTION("all are valid until the next ones, also when one was lost: " +
            std::to_string(Receivers)) {
      TimePoint Late = Start + 2 * Period + 250ms;
      View.expire(Late);
      CHECK(View.reachableVms(Late) == Receivers);
      CHECK(View.peersRunningOn("e1").Requests_ == static_cast<int>(Receivers));
    }
    SECTION("none is valid after four periods without any: " +
            std::to_string(Receivers)) {
      TimePoint Expired = Start + std::max<Duration>(2s, 4 * Period);
      View.expire(Expired);
      CHECK(View.reachableVms(Expired) == 0);
      CHECK(View.peersRunningOn("e1").Requests_ == 0);
    }
  }
}
