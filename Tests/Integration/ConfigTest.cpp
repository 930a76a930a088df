#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace anvil;
using nlohmann::json;

/// Adapter `a` with another current version; versions count up from 1.
static json adapterAt(int Version) {
  json Versions = json::array();
  for (int Known = 1; Known <= 20; ++Known)
    Versions.push_back({{"name", std::to_string(Known)}, {"weights", "w"}});
  return object("adapter", "a",
                {{"base_model", "base"},
                 {"versions", Versions},
                 {"current_version", std::to_string(Version)}});
}

/// Asks a VM for adapter `a` and gives the version that an engine ran; zero
/// when none did.
static int versionServed(Fleet &System, const std::string &Vm) {
  Answer Given = System.call(Vm, completion("a", "x", 1), Millis(3000));
  std::string Id = Given.Headers_["x-request-id"];
  int Version = 0;
  for (const json &Run : System.engineRecords("run"))
    if (Run["request_id"] == Id)
      Version = std::stoi(Run["model"].get<std::string>().substr(2));
  return Version;
}

/// Asks all VMs again and again and notes when one serves an older version
/// than it has served before.
class ReversionWatch {
public:
  explicit ReversionWatch(Fleet &System) {
    for (const std::string &Vm : System.vmNames())
      Watches_.push_back(std::make_unique<Background>(
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
  std::vector<std::unique_ptr<Background>> Watches_;
};

TEST_CASE("an accepted configuration is in force everywhere within seconds and "
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
        PromiseBound);
  };
  const std::vector<std::string> South{"vm-3", "vm-4"};

  SECTION("in quiet times") {
    ReversionWatch Watch(System);
    for (int Version = 2; Version <= 4; ++Version) {
      const char *Vm = Version % 2 ? "vm-1" : "vm-4";
      REQUIRE(System.apply(Vm, {adapterAt(Version)}).Status_ == 200);
      CHECK(AllServe(Version, System.vmNames()));
    }
    CHECK(Watch.reversions() == 0);
  }

  SECTION("when a data centre is cut from the platform, but not from its "
          "peers") {
    ReversionWatch Watch(System);
    System.platformLinks("cut", "south");
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, System.vmNames()));
    System.platformLinks("pass");
    CHECK(Watch.reversions() == 0);
  }

  SECTION("when a data centre is cut from its peers, but not from the "
          "platform") {
    ReversionWatch Watch(System);
    System.dataCentreLinks("south", "cut");
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, System.vmNames()));
    CHECK(Watch.reversions() == 0);
  }

  SECTION("when a data centre is cut from both, it goes on, and follows when "
          "it is healed") {
    ReversionWatch Watch(System);
    System.dataCentreLinks("south", "cut");
    System.platformLinks("cut", "south");
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, {"vm-1", "vm-2"}));
    for (const std::string &Vm : South)
      CHECK(eventually([&] { return versionServed(System, Vm) == 1; },
                       PromiseBound));
    System.dataCentreLinks("south", "pass");
    System.platformLinks("pass", "south");
    CHECK(AllServe(2, System.vmNames()));
    CHECK(Watch.reversions() == 0);
  }

  SECTION("when a VM starts anew while the platform is away") {
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    CHECK(AllServe(2, System.vmNames()));
    System.platformLinks("cut");
    System.at("vm-2").kill();
    System.startVm("vm-2");
    CHECK(AllServe(2, {"vm-2"}));
  }

  SECTION("when operators publish at once, one wins and the others learn why") {
    std::uint64_t Base = System.revision("vm-1");
    std::vector<Answer> Answers(4);
    std::vector<std::thread> Operators;
    for (int Number = 0; Number < 4; ++Number)
      Operators.emplace_back([&, Number] {
        json Change{{"submit_id", "operator-" + std::to_string(Number)},
                    {"base_revision", Base},
                    {"put", {adapterAt(Number + 2)}}};
        std::string Vm = "vm-" + std::to_string(Number + 1);
        Answers[static_cast<std::size_t>(Number)] = sendJson(
            System.at(Vm).port("admin"), "POST", "/admin/config/apply", Change);
      });
    for (std::thread &Operator : Operators)
      Operator.join();
    std::multiset<int> Statuses;
    for (const Answer &Given : Answers)
      Statuses.insert(Given.Status_);
    CHECK(Statuses == std::multiset<int>{200, 409, 409, 409});
    for (const Answer &Given : Answers)
      if (Given.Status_ == 409)
        CHECK(Given.Body_.find("adapter a") != std::string::npos);
    CHECK(System.reached(Base + 1, System.vmNames(), PromiseBound));
  }

  SECTION("when the platform loses the answer, and the operator submits again "
          "through another VM") {
    System.control("platform", {{"lose_answers", 1}});
    System.apply("vm-1", {adapterAt(2)}, "lost");
    Answer Again = System.apply("vm-3", {adapterAt(2)}, "lost");
    INFO(Again.Body_);
    REQUIRE(Again.Status_ == 200);
    CHECK(Again.json()["revision"] == 2);
    CHECK(AllServe(2, System.vmNames()));
  }

  SECTION("when the publishing VM is killed in the middle, and the operator "
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
    Answer Again = System.apply("vm-3", {adapterAt(2)}, "killed");
    INFO(Again.Body_);
    REQUIRE(Again.Status_ == 200);
    CHECK(Again.json()["revision"] == 2);
    CHECK(AllServe(2, {"vm-2", "vm-3", "vm-4"}));
  }

  SECTION("when a VM is paused over a publish and goes on") {
    System.at("vm-2").signal(SIGSTOP);
    REQUIRE(System.apply("vm-1", {adapterAt(2)}).Status_ == 200);
    eventually([] { return false; }, Millis(3000));
    System.at("vm-2").signal(SIGCONT);
    CHECK(AllServe(2, System.vmNames()));
  }
}
