#include "Placement/StoreBudget.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

TEST_CASE("the weight store's budget") {
  rc::prop(
      "is never exceeded by all VMs together, whichever holder they ask", [] {
        StoreLimits Total{*rc::gen::inRange(1, 20) * 1.0,
                          *rc::gen::inRange(1, 9)};
        std::vector<std::string> Vms;
        std::map<std::string, StoreBudget> Budgets;
        for (int Index = 0; Index < *rc::gen::inRange(1, 30); ++Index)
          Vms.push_back("vm-" + std::to_string(Index));
        TimePoint Now(1h);
        std::int64_t Concurrent = 0;
        double Rate = 0;
        for (const std::string &Vm : Vms) {
          StoreLimits Share = budgetShare(Total, Vms, Vm);
          Concurrent += Share.Concurrent_;
          Rate += Share.LoadsPerSecond_;
          Budgets.emplace(Vm, 40s).first->second.setShare(Share, 0s, Now);
        }
        RC_ASSERT(Concurrent == Total.Concurrent_);
        RC_ASSERT(Rate <= Total.LoadsPerSecond_ + 1e-9);
        TimePoint StartedAt = Now;
        std::int64_t Started = 0;
        std::map<std::string, std::pair<std::string, TimePoint>> Running;
        for (int Step = 0; Step < 300; ++Step) {
          Now += Duration(*rc::gen::inRange(1, 300) * 1000);
          std::erase_if(Running, [&](const auto &Entry) {
            bool IsOver = Entry.second.second <= Now;
            // The end notice may be lost; then the load expires.
            if (IsOver && *rc::gen::inRange(0, 4) > 0)
              Budgets.at(Entry.second.first).end(Entry.first);
            return IsOver;
          });
          std::string Load = "load-" + std::to_string(Step);
          for (const std::string &Holder : budgetHolders(Total, Vms)) {
            if (!Budgets.at(Holder).start(Load, Now))
              continue;
            ++Started;
            Running[Load] = {Holder, Now + *rc::gen::inRange(1, 50) * 100ms};
            break;
          }
          RC_ASSERT(std::ssize(Running) <= Total.Concurrent_);
          RC_ASSERT(static_cast<double>(Started) <=
                    toSeconds(Now - StartedAt) * Total.LoadsPerSecond_ +
                        static_cast<double>(Total.Concurrent_));
        }
      });

  SECTION("gains no tokens from a share that is removed and restored") {
    StoreBudget Budget(40s);
    TimePoint Now(1h);
    Budget.setShare({1, 1}, 500ms, Now);
    REQUIRE_FALSE(Budget.start("a", Now));
    REQUIRE(Budget.start("a", Now + 1s));
    Budget.setShare({0, 0}, 500ms, Now + 1s);
    Budget.setShare({1, 1}, 500ms, Now + 2s);
    REQUIRE_FALSE(Budget.start("b", Now + 2s));
  }
}
