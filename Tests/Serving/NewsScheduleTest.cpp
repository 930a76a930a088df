#include "Serving/NewsSchedule.h"
#include "Serving/FleetBook.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("news of VMs that tell at the period of their fleet's size",
          "[fleet][news]") {
  for (std::size_t Listeners : {7, 15, 26, 38, 60, 194, 999}) {
    Duration Period = newsPeriod(Listeners);
    FleetBook Book;
    std::uint64_t Sequence = 0;
    auto Tell = [&](TimePoint At) {
      for (std::size_t Vm = 0; Vm < Listeners; ++Vm) {
        VmNews News;
        News.Vm_ = "vm-" + std::to_string(Vm);
        News.Period_ = Period;
        News.Sequence_ = ++Sequence;
        News.Running_["e1"] = {1, 100, {}};
        Book.apply(News, At);
      }
    };
    INFO(Listeners << " VMs, told every " << toMillis(Period) << " ms");
    Tell(Start);
    SECTION("all count until the next, also when one was lost: " +
            std::to_string(Listeners)) {
      TimePoint Late = Start + 2 * Period + 250ms;
      Book.expire(Late);
      CHECK(Book.heardVms(Late) == Listeners);
      CHECK(Book.othersOn("e1").Requests_ == static_cast<int>(Listeners));
    }
    SECTION("none counts after four periods without any: " +
            std::to_string(Listeners)) {
      TimePoint Silent = Start + std::max<Duration>(2s, 4 * Period);
      Book.expire(Silent);
      CHECK(Book.heardVms(Silent) == 0);
      CHECK(Book.othersOn("e1").Requests_ == 0);
    }
  }
}
