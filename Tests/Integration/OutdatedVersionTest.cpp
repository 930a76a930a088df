// Guards against VERSION: requests wait at an engine for longer than a new
// version of their adapter allows, the engine has no owner that could order the
// replacement, and they begin on the old version.

#include "Integration/EntryFleet.h"
#include "Kernel/Clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <thread>

using namespace anvil;
using nlohmann::json;

/// How long after its publication a version may stay unused.
static constexpr std::int64_t VersionBoundUs = 5000000;

/// Callers that ask for one adapter through one VM without a pause.
class AdapterCallers {
public:
  AdapterCallers(EntryFleet &System, std::string Vm, int Callers) {
    for (int Caller = 0; Caller < Callers; ++Caller)
      Threads_.emplace_back([this, &System, Vm, Caller] {
        for (int Round = 0; !Stopping_; ++Round) {
          std::string Id =
              "c" + std::to_string(Caller) + "-" + std::to_string(Round);
          CallerReply Reply = System.call(Vm, "/stream/x",
                                          {{"X-Model", "base/a1"},
                                           {"X-Request-Id", Id},
                                           {"X-Request-Deadline", "12000"}});
          Served_ += Reply.Status_ == 200 && Reply.Complete_ ? 1 : 0;
          std::this_thread::sleep_for(Millis(100));
        }
      });
  }
  ~AdapterCallers() {
    Stopping_ = true;
    for (std::thread &Thread : Threads_)
      Thread.join();
  }
  AdapterCallers(const AdapterCallers &) = delete;
  AdapterCallers &operator=(const AdapterCallers &) = delete;

  int served() const { return Served_; }

private:
  std::atomic<bool> Stopping_ = false;
  std::atomic<int> Served_ = 0;
  std::vector<std::thread> Threads_;
};

TEST_CASE("no request begins on an outdated version", "[outdated-version]") {
  EntryFleetPlan Plan;
  Plan.Timeout_ = Millis(12000);
  Plan.EngineSlots_ = 2;
  EntryFleet System(Plan);
  System.writeTargetEntry("engine-2", "draining");
  REQUIRE(eventually([&] { return !System.ownerOf("engine-1").empty(); },
                     Millis(10000)));
  std::string Owner = System.ownerOf("engine-1");
  std::string Sender = Owner == "vm-1" ? "vm-2" : "vm-1";
  REQUIRE(eventually(
      [&] {
        return System.call(Sender, "/stream/x", {{"X-Model", "base/a1"}})
                   .Status_ == 200;
      },
      Millis(10000)));
  // Each request runs for a second, so those of 16 callers would wait for up to
  // seven.
  System.control("engine-1", {{"slots", 2}, {"event_ms", 50}});
  AdapterCallers Callers(System, Sender, 16);
  std::this_thread::sleep_for(Millis(9000));
  bool HasOwner = GENERATE(true, false);
  INFO("the engine has an owner: " << HasOwner);
  if (!HasOwner) {
    System.at(Owner).kill();
    std::this_thread::sleep_for(Millis(1000));
  }
  System.nameVersion("a1", 2);
  std::int64_t NamedAt = BootClock::now().time_since_epoch().count();
  std::this_thread::sleep_for(Millis(8000));
  std::int64_t LastBegin = 0;
  for (const json &Begin : System.records("begin"))
    if (Begin["version"] == 1)
      LastBegin = std::max(LastBegin, Begin["at_us"].get<std::int64_t>());
  CHECK(LastBegin < NamedAt + VersionBoundUs);
  // A successor wasn't there when the version was named.
  int ServedBefore = Callers.served();
  CHECK(eventually([&] { return Callers.served() > ServedBefore + 2; },
                   Millis(15000)));
  CHECK(System.records("begin").back()["version"] == 2);
}
