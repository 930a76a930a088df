#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace anvil;
using nlohmann::json;

/// Adapter `a` with this current version; its versions are numbered from 1.
static json adapterAt(int Version) {
  json Versions = json::array();
  for (int Number = 1; Number <= 20; ++Number)
    Versions.push_back({{"name", std::to_string(Number)}, {"weights", "w"}});
  return object("adapter", "a",
                {{"base_model", "base"},
                 {"versions", Versions},
                 {"current_version", std::to_string(Version)}});
}

/// Sends a request for adapter `a` to a VM and returns the version that an
/// engine ran, or zero if none did.
static int versionServed(Fleet &System, const std::string &Vm) {
  CallerReply Reply = System.call(Vm, completion("a", "x", 1), Millis(3000));
  std::string Id = Reply.Headers_["x-request-id"];
  int Version = 0;
  for (const json &Run : System.engineRecords("run"))
    if (Run["request_id"] == Id)
      Version = std::stoi(Run["model"].get<std::string>().substr(2));
  return Version;
}

/// Polls all VMs in the background and counts how often one serves an older
/// version than it has served before.
class ReversionMonitor {
public:
  explicit ReversionMonitor(Fleet &System) {
    for (const std::string &Vm : System.vmNames())
      Monitors_.push_back(std::make_unique<BackgroundLoop>(
          [this, &System, Vm, Highest = 0]() mutable {
            int Version = versionServed(System, Vm);
            if (Version > 0 && Version < Highest)
              ++Reversions_;
            Highest = std::max(Highest, Version);
          }));
  }

  int reversions() const { return Reversions_; }

private:
  std::atomic<int> Reversions_ = 0;
  std::vector<std::unique_ptr<BackgroundLoop>> Monitors_;
};

TEST_CASE("an accepted configuration is in force on all VMs within seconds and "
          "never reverts",
          "[config-convergence]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"},
               {"vm-2", "north"},
               {"vm-3", "south"},
               {"vm-4", "south"}};
  Plan.Engines_ = {{"engine-1", "north"}, {"engine-2", "south"}};
  Plan.EngineOptions_ = {"--adapter-slots", "40", "--load-ms", "5"};
  Plan.TargetFields_ = {{"adapter_slots", 40}};
  Plan.Objects_ = {adapterAt(1)};
  Fleet System(Plan);
  warmUp(System);
  auto AllServe = [&](int Version, const std::vector<std::string> &Vms) {
    return eventually(
        [&] {
          return std::ranges::all_of(Vms, [&](const std::string &Vm) {
            return versionServed(System, Vm) >= Version;
          });
        },
        GuaranteeTimeout);
  };
  const std::vector<std::string> South{"vm-3", "vm-4"};

  SECTION("without faults") {
    ReversionMonitor Monitor(System);
    for (int Version = 2; Version <= 4; ++Version) {
      const char *Vm = Version % 2 ? "vm-1" : "vm-4";
      REQUIRE(System.apply(Vm, {adapterAt(Version)}).Status_ == 200);
      CHECK(AllServe(Version, System.vmNames()));
    }
    CHECK(Monitor.reversions() == 0);
  }

  SECTION("when a data centre is cut off from the platform, but not from its "
          "peers") {
    ReversionMonitor Monitor(System);
    System.setPlatformLinks("cut", "south");
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, System.vmNames()));
    System.setPlatformLinks("pass");
    CHECK(Monitor.reversions() == 0);
  }

  SECTION("when a data centre is cut off from its peers, but not from the "
          "platform") {
    ReversionMonitor Monitor(System);
    System.setDataCentreLinks("south", "cut");
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, System.vmNames()));
    CHECK(Monitor.reversions() == 0);
  }

  SECTION("when a data centre is cut off from both, it keeps serving and "
          "catches up once it is reconnected") {
    ReversionMonitor Monitor(System);
    System.setDataCentreLinks("south", "cut");
    System.setPlatformLinks("cut", "south");
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, {"vm-1", "vm-2"}));
    for (const std::string &Vm : South)
      CHECK(eventually([&] { return versionServed(System, Vm) == 1; },
                       GuaranteeTimeout));
    System.setDataCentreLinks("south", "pass");
    System.setPlatformLinks("pass", "south");
    CHECK(AllServe(2, System.vmNames()));
    CHECK(Monitor.reversions() == 0);
  }

  SECTION("when a VM restarts while the platform is unreachable") {
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, System.vmNames()));
    System.setPlatformLinks("cut");
    System.at("vm-2").kill();
    System.startVm("vm-2");
    CHECK(AllServe(2, {"vm-2"}));
  }

  SECTION("when operators publish at once, one wins and the others get the "
          "conflict") {
    std::uint64_t Base = System.revision("vm-1");
    std::vector<CallerReply> Replies(4);
    std::vector<std::thread> Operators;
    for (int Number = 0; Number < 4; ++Number)
      Operators.emplace_back([&, Number] {
        json Change{{"submit_id", "operator-" + std::to_string(Number)},
                    {"base_revision", Base},
                    {"put", {adapterAt(Number + 2)}}};
        std::string Vm = "vm-" + std::to_string(Number + 1);
        Replies[static_cast<std::size_t>(Number)] = sendJson(
            System.at(Vm).port("admin"), "POST", "/admin/config/apply", Change);
      });
    for (std::thread &Operator : Operators)
      Operator.join();
    std::multiset<int> Statuses;
    for (const CallerReply &Reply : Replies)
      Statuses.insert(Reply.Status_);
    CHECK(Statuses == std::multiset<int>{200, 409, 409, 409});
    for (const CallerReply &Reply : Replies)
      if (Reply.Status_ == 409)
        CHECK(Reply.Body_.find("adapter a") != std::string::npos);
    CHECK(System.waitForRevision(Base + 1, System.vmNames(), GuaranteeTimeout));
  }

  SECTION("when the platform loses the reply, and the operator submits again "
          "through another VM") {
    System.control("platform", {{"lose_answers", 1}});
    System.apply("vm-1", {adapterAt(2)}, "lost");
    CallerReply Again = System.apply("vm-3", {adapterAt(2)}, "lost");
    INFO(Again.Body_);
    REQUIRE(Again.Status_ == 200);
    CHECK(Again.json()["revision"] == 2);
    CHECK(AllServe(2, System.vmNames()));
  }

  SECTION("when the publishing VM is killed while publishing, and the operator "
          "submits again") {
    System.control("platform", {{"delay_ms", 150}});
    std::thread Operator([&, Port = System.at("vm-1").port("admin")] {
      sendJson(Port, "POST", "/admin/config/apply",
               {{"submit_id", "killed"}, {"put", {adapterAt(2)}}});
    });
    eventually([] { return false; }, Millis(350));
    System.at("vm-1").kill();
    Operator.join();
    System.control("platform", {{"delay_ms", 0}});
    CallerReply Again = System.apply("vm-3", {adapterAt(2)}, "killed");
    INFO(Again.Body_);
    REQUIRE(Again.Status_ == 200);
    CHECK(Again.json()["revision"] == 2);
    CHECK(AllServe(2, {"vm-2", "vm-3", "vm-4"}));
  }

  SECTION("when a VM is paused during a publish and resumed") {
    System.at("vm-2").signal(SIGSTOP);
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    eventually([] { return false; }, Millis(3000));
    System.at("vm-2").signal(SIGCONT);
    CHECK(AllServe(2, System.vmNames()));
  }
}
