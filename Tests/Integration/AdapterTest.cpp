#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

/// Runs on engines whose model isn't the one that the prompt asks for.
static std::vector<std::string> wrongRuns(Fleet &System) {
  std::vector<std::string> Wrong;
  for (const json &Run : System.engineRecords("run")) {
    auto Prompt = Run["prompt"].get<std::string>();
    auto Wanted = Prompt.substr(0, Prompt.find(' '));
    if (Run["model"].get<std::string>().starts_with(Wanted) == false)
      Wrong.push_back(Run.dump());
  }
  return Wrong;
}

/// Requests for all versions of two adapters through all VMs; the prompt says
/// what must run.
static std::vector<Sent> mixedRequests(Fleet &System, int Rounds) {
  std::vector<Sent> Requests;
  for (int Round = 0; Round < Rounds; ++Round)
    for (const std::string &Vm : System.vmNames())
      for (const char *Model : {"a@1", "a@2", "b@1", "b@2", "c"}) {
        std::string Prompt = std::string(Model) + " " + std::to_string(Round);
        Requests.push_back({Vm, completion(Model, Prompt, 5)});
      }
  return Requests;
}

/// Answers of status 200 whose text isn't that of their own adapter.
static int foreignAnswers(const std::vector<Sent> &Requests,
                          const std::vector<Answer> &Answers) {
  int Foreign = 0;
  for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
    const Answer &Given = Answers[Index];
    auto Wanted = json::parse(Requests[Index].Request_.Body_)["model"];
    if (Given.Status_ == 200)
      Foreign += !Given.json()["model"].get<std::string>().starts_with(
          Wanted.get<std::string>());
  }
  return Foreign;
}

TEST_CASE("each request runs on the adapter and version it named",
          "[adapter-version]") {
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--adapter-slots", "3"};
  Plan.TargetFields_ = {{"adapter_slots", 3}};
  Plan.Objects_ = {object("route", "models", {{"deadline_ms", 3000}})};
  Fleet System(Plan);

  SECTION("when more versions are asked for than fit") {
    auto Requests = mixedRequests(System, 4);
    auto Answers = callAll(System, Requests);
    REQUIRE(foreignAnswers(Requests, Answers) == 0);
    REQUIRE(wrongRuns(System).empty());
    REQUIRE(untrueRefusals(System, Answers).empty());
  }

  SECTION("when engines restart cold, loads fail and the current version "
          "changes at once") {
    int Round = 0;
    Background Faults([&] {
      std::string Engine = Round % 2 ? "engine-1" : "engine-2";
      sendJson(System.at(Engine).port(), "POST", "/control",
               {{"crash", true}, {"fail_loads", 1}});
      json Versions{{{"name", "1"}, {"weights", "w/1"}},
                    {{"name", "2"}, {"weights", "w/2"}}};
      System.apply("vm-1",
                   {object("adapter", "c",
                           {{"base_model", "base"},
                            {"versions", Versions},
                            {"current_version", ++Round % 2 ? "1" : "2"}})});
      eventually([] { return false; }, Millis(300));
    });
    for (int Wave = 0; Wave < 8; ++Wave) {
      auto Requests = mixedRequests(System, 3);
      auto Answers = callAll(System, Requests);
      CHECK(foreignAnswers(Requests, Answers) == 0);
      CHECK(untrueRefusals(System, Answers).empty());
    }
    REQUIRE(wrongRuns(System).empty());
  }
}

/// Evictions of adapters that served a request, as the engines saw them.
static std::vector<std::string> evictionsInUse(Fleet &System) {
  std::vector<std::string> Found;
  for (const json &Unload : System.engineRecords("unload"))
    if (Unload["accepted"] == true && Unload["in_use"] > 0)
      Found.push_back(Unload.dump());
  for (const json &Cut : System.engineRecords("evicted_while_serving"))
    Found.push_back(Cut.dump());
  return Found;
}

/// Other adapters asked for through the VMs, each beside the others.
static std::vector<Sent> pressure(const std::vector<std::string> &Vms) {
  std::vector<Sent> Requests;
  for (const std::string &Vm : Vms)
    for (const char *Model : {"b@1", "c@1", "d@1"})
      Requests.push_back({Vm, completion(Model, "x", 5)});
  return Requests;
}

TEST_CASE("an adapter serving a request is never evicted", "[adapter-pinned]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "north"}};
  Plan.Engines_ = {{"engine-1", "north"}};
  Plan.EngineOptions_ = {"--adapter-slots", "2", "--token-ms", "20"};
  Plan.TargetFields_ = {{"adapter_slots", 2}};
  Plan.Objects_ = {object("route", "models", {{"deadline_ms", 4000}})};

  SECTION("while other VMs ask for more adapters than fit") {
    Fleet System(Plan);
    auto Long = beginStream(System, "vm-1", "a@1", 200);
    auto Answers = callAll(System, pressure({"vm-2", "vm-3"}));
    CHECK(untrueRefusals(System, Answers).empty());
    Answer Given = Long->finish(SettleBound);
    CHECK(streamedText(Given.Body_) == words("a@1", 200));
    REQUIRE(evictionsInUse(System).empty());

    SECTION("and its place is free again afterwards") {
      REQUIRE(eventually(
          [&] {
            auto Later = callAll(System, pressure({"vm-2"}));
            return std::ranges::all_of(
                Later, [](const Answer &Each) { return Each.Status_ == 200; });
          },
          SettleBound));
    }
  }

  SECTION("when any VM is killed in the middle") {
    for (const char *Killed : {"vm-2", "vm-3"}) {
      Fleet System(Plan);
      auto Long = beginStream(System, "vm-1", "a@1", 250);
      callAll(System, pressure({Killed}), Millis(300));
      System.at(Killed).kill();
      callAll(System, pressure({"vm-2", "vm-3"}));
      Answer Given = Long->finish(SettleBound);
      CHECK(streamedText(Given.Body_) == words("a@1", 250));
      CHECK(evictionsInUse(System).empty());
    }
  }

  SECTION("when a VM is paused beyond every lease and then goes on") {
    for (const char *Paused : {"vm-1", "vm-2", "vm-3"}) {
      Fleet System(Plan);
      std::string Other = std::string(Paused) == "vm-3" ? "vm-2" : "vm-3";
      callAll(System, pressure(System.vmNames()));
      System.at(Paused).signal(SIGSTOP);
      Background Pressure(
          [&] { callAll(System, pressure({Other}), Millis(1000)); });
      eventually([] { return false; }, PauseBeyondLease);
      auto Long = beginStream(System, Other, "a@1", 200);
      System.at(Paused).signal(SIGCONT);
      callAll(System, pressure({Paused}));
      Answer Given = Long->finish(SettleBound);
      CHECK(streamedText(Given.Body_) == words("a@1", 200));
      CHECK(evictionsInUse(System).empty());
    }
  }

  SECTION("when an engine ignores fencing and orders come late") {
    Plan.EngineOptions_.insert(Plan.EngineOptions_.end(),
                               {"--checks-fencing", "0"});
    Plan.TargetFields_["checks_fencing"] = false;
    Fleet System(Plan);
    callAll(System, pressure({"vm-1"}));
    System.control("engine-1", {{"order_delay_ms", 1500}});
    callAll(System, pressure({"vm-2"}), Millis(300));
    for (const std::string &Vm : System.vmNames())
      System.at(Vm).signal(SIGSTOP);
    eventually([] { return false; }, Millis(500));
    for (const std::string &Vm : System.vmNames())
      System.at(Vm).signal(SIGCONT);
    System.control("engine-1", {{"order_delay_ms", 0}});
    auto Answers = callAll(System, {{"vm-1", completion("a@1", "x", 100)},
                                    {"vm-2", completion("b@1", "x", 100)},
                                    {"vm-3", completion("c@1", "x", 100)}});
    CHECK(untrueRefusals(System, Answers).empty());
    REQUIRE(evictionsInUse(System).empty());
  }

  SECTION("while the data centre is cut from the platform") {
    Fleet System(Plan);
    callAll(System, pressure({"vm-1", "vm-2"}));
    // Two of the three adapters stay; without an owner none can be loaded.
    REQUIRE(System.call("vm-1", completion("d@1", "x", 5)).Status_ == 200);
    System.platformLinks("cut");
    eventually([] { return false; }, PauseBeyondLease);
    auto Long = beginStream(System, "vm-1", "d@1", 100);
    callAll(System, pressure({"vm-2", "vm-3"}));
    Answer Given = Long->finish(SettleBound);
    INFO(Given.Status_ << Given.Body_);
    CHECK(streamedText(Given.Body_) == words("d@1", 100));
    CHECK(evictionsInUse(System).empty());
  }
}
