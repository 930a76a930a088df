// Guards against VERSION: requests wait at an engine for longer than a new
// version of their adapter allows, the engine has no owner that could order the
// replacement, and they begin on the old version.

#include "Integration/EntryFleet.h"
#include "Kernel/Clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <optional>
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

/// Callers that wait at one engine for some seconds, through the VM that
/// doesn't own it.
class WaitingCallers {
public:
  explicit WaitingCallers(EntryFleet &System) : System_(System) {
    System.writeTargetEntry("engine-2", "draining");
    REQUIRE(eventually([&] { return !System.ownerOf("engine-1").empty(); },
                       Millis(10000)));
    Owner_ = System.ownerOf("engine-1");
    std::string Sender = Owner_ == "vm-1" ? "vm-2" : "vm-1";
    REQUIRE(eventually(
        [&] {
          return System.call(Sender, "/stream/x", {{"X-Model", "base/a1"}})
                     .Status_ == 200;
        },
        Millis(10000)));
    // Each request runs for a second, so those of 16 callers would wait for up
    // to seven.
    System.control("engine-1", {{"slots", 2}, {"event_ms", 50}});
    Callers_.emplace(System, Sender, 16);
    std::this_thread::sleep_for(Millis(9000));
  }

  void killOwner() {
    System_.at(Owner_).kill();
    std::this_thread::sleep_for(Millis(1000));
  }

  /// Names version 2 and checks that nothing begins on version 1 after the
  /// bound, and that version 2 is used once a VM may order it.
  void checkNewVersion() {
    System_.nameVersion("a1", 2);
    std::int64_t NamedAt = BootClock::now().time_since_epoch().count();
    std::this_thread::sleep_for(Millis(8000));
    std::int64_t LastBegin = 0;
    for (const json &Begin : System_.records("begin"))
      if (Begin["version"] == 1)
        LastBegin = std::max(LastBegin, Begin["at_us"].get<std::int64_t>());
    CHECK(LastBegin < NamedAt + VersionBoundUs);
    // A successor wasn't there when the version was named.
    int ServedBefore = Callers_->served();
    CHECK(eventually([&] { return Callers_->served() > ServedBefore + 2; },
                     Millis(15000)));
    CHECK(System_.records("begin").back()["version"] == 2);
  }

private:
  EntryFleet &System_;
  std::string Owner_;
  std::optional<AdapterCallers> Callers_;
};

static EntryFleetPlan longRequests() {
  EntryFleetPlan Plan;
  Plan.Timeout_ = Millis(12000);
  Plan.EngineSlots_ = 2;
  return Plan;
}

TEST_CASE("no request begins on an outdated version", "[outdated-version]") {
  EntryFleet System(longRequests());
  WaitingCallers Callers(System);
  bool HasOwner = GENERATE(true, false);
  INFO("the engine has an owner: " << HasOwner);
  if (!HasOwner)
    Callers.killOwner();
  Callers.checkNewVersion();
}

// The wait is much longer than expected when the requests were sent, which no
// estimate can know.
TEST_CASE("no request begins on an outdated version if its engine becomes "
          "slower while it waits",
          "[outdated-wait]") {
  EntryFleet System(longRequests());
  WaitingCallers Callers(System);
  System.control("engine-1", {{"event_ms", 150}, {"drop_waiting", true}});
  Callers.killOwner();
  Callers.checkNewVersion();
  CHECK(System.records("dropped").size() > 0);
}
