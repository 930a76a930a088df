#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

/// The recorded runs on a model other than the one that the prompt names.
static std::vector<std::string> wrongRuns(Fleet &System) {
  std::vector<std::string> Wrong;
  for (const json &Run : System.engineRecords("run")) {
    auto Prompt = Run["prompt"].get<std::string>();
    auto Expected = Prompt.substr(0, Prompt.find(' '));
    if (Run["model"].get<std::string>().starts_with(Expected) == false)
      Wrong.push_back(Run.dump());
  }
  return Wrong;
}

/// Requests for all versions of two adapters, and for the current version of a
/// third, through all VMs. The prompt names the model that must run.
static std::vector<VmRequest> mixedRequests(Fleet &System, int Rounds) {
  std::vector<VmRequest> Requests;
  for (int Round = 0; Round < Rounds; ++Round)
    for (const std::string &Vm : System.vmNames())
      for (const char *Model : {"a@1", "a@2", "b@1", "b@2", "c"}) {
        std::string Prompt = std::string(Model) + " " + std::to_string(Round);
        Requests.push_back({Vm, completion(Model, Prompt, 5)});
      }
  return Requests;
}

/// The number of replies with status 200 that name another model than the
/// request.
static int wrongAdapterReplies(const std::vector<VmRequest> &Requests,
                               const std::vector<CallerReply> &Replies) {
  int WrongCount = 0;
  for (std::size_t Index = 0; Index < Replies.size(); ++Index) {
    const CallerReply &Reply = Replies[Index];
    auto Expected = json::parse(Requests[Index].Request_.Body_)["model"];
    if (Reply.Status_ == 200)
      WrongCount += !Reply.json()["model"].get<std::string>().starts_with(
          Expected.get<std::string>());
  }
  return WrongCount;
}

TEST_CASE("each request runs on the adapter and version that it names",
          "[adapter-version]") {
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--adapter-slots", "3"};
  Plan.TargetFields_ = {{"adapter_slots", 3}};
  Plan.Objects_ = {object("route", "models", {{"deadline_ms", 3000}})};
  Fleet System(Plan);

  SECTION("when more versions are requested than fit") {
    auto Requests = mixedRequests(System, 4);
    auto Replies = callAll(System, Requests);
    REQUIRE(wrongAdapterReplies(Requests, Replies) == 0);
    REQUIRE(wrongRuns(System).empty());
    REQUIRE(falseRefusals(System, Replies).empty());
  }

  SECTION("when engines restart cold, loads fail and the current version "
          "changes at once") {
    int Round = 0;
    BackgroundLoop Faults([&] {
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
    for (int Batch = 0; Batch < 8; ++Batch) {
      auto Requests = mixedRequests(System, 3);
      auto Replies = callAll(System, Requests);
      CHECK(wrongAdapterReplies(Requests, Replies) == 0);
      CHECK(falseRefusals(System, Replies).empty());
    }
    REQUIRE(wrongRuns(System).empty());
  }
}

/// The recorded evictions of adapters that were serving a request.
static std::vector<std::string> evictionsWhileServing(Fleet &System) {
  std::vector<std::string> Found;
  for (const json &Unload : System.engineRecords("unload"))
    if (Unload["accepted"] == true && Unload["in_use"] > 0)
      Found.push_back(Unload.dump());
  for (const json &Cut : System.engineRecords("evicted_while_serving"))
    Found.push_back(Cut.dump());
  return Found;
}

/// Requests for other adapters through each VM, which compete for the slots.
static std::vector<VmRequest>
competingRequests(const std::vector<std::string> &Vms) {
  std::vector<VmRequest> Requests;
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

  SECTION("while other VMs request more adapters than fit") {
    Fleet System(Plan);
    auto Long = beginStream(System, "vm-1", "a@1", 200);
    auto Replies = callAll(System, competingRequests({"vm-2", "vm-3"}));
    CHECK(falseRefusals(System, Replies).empty());
    CallerReply Reply = Long->finish(SettleTimeout);
    CHECK(streamedText(Reply.Body_) == expectedText("a@1", 200));
    REQUIRE(evictionsWhileServing(System).empty());

    SECTION("and its slot is free again afterwards") {
      REQUIRE(eventually(
          [&] {
            auto Later = callAll(System, competingRequests({"vm-2"}));
            return std::ranges::all_of(Later, [](const CallerReply &Each) {
              return Each.Status_ == 200;
            });
          },
          SettleTimeout));
    }
  }

  SECTION("when any VM is killed during the request") {
    for (const char *Killed : {"vm-2", "vm-3"}) {
      Fleet System(Plan);
      auto Long = beginStream(System, "vm-1", "a@1", 250);
      callAll(System, competingRequests({Killed}), Millis(300));
      System.at(Killed).kill();
      callAll(System, competingRequests({"vm-2", "vm-3"}));
      CallerReply Reply = Long->finish(SettleTimeout);
      CHECK(streamedText(Reply.Body_) == expectedText("a@1", 250));
      CHECK(evictionsWhileServing(System).empty());
    }
  }

  SECTION("when a VM is paused for longer than any lease and then resumed") {
    for (const char *Paused : {"vm-1", "vm-2", "vm-3"}) {
      Fleet System(Plan);
      std::string Other = std::string(Paused) == "vm-3" ? "vm-2" : "vm-3";
      callAll(System, competingRequests(System.vmNames()));
      System.at(Paused).signal(SIGSTOP);
      BackgroundLoop CompetingLoad(
          [&] { callAll(System, competingRequests({Other}), Millis(1000)); });
      eventually([] { return false; }, PauseBeyondLease);
      auto Long = beginStream(System, Other, "a@1", 200);
      System.at(Paused).signal(SIGCONT);
      callAll(System, competingRequests({Paused}));
      CallerReply Reply = Long->finish(SettleTimeout);
      CHECK(streamedText(Reply.Body_) == expectedText("a@1", 200));
      CHECK(evictionsWhileServing(System).empty());
    }
  }

  SECTION("when an engine ignores fencing tokens and orders arrive late") {
    Plan.EngineOptions_.insert(Plan.EngineOptions_.end(),
                               {"--checks-fencing", "0"});
    Plan.TargetFields_["checks_fencing"] = false;
    Fleet System(Plan);
    callAll(System, competingRequests({"vm-1"}));
    System.control("engine-1", {{"order_delay_ms", 1500}});
    callAll(System, competingRequests({"vm-2"}), Millis(300));
    for (const std::string &Vm : System.vmNames())
      System.at(Vm).signal(SIGSTOP);
    eventually([] { return false; }, Millis(500));
    for (const std::string &Vm : System.vmNames())
      System.at(Vm).signal(SIGCONT);
    System.control("engine-1", {{"order_delay_ms", 0}});
    auto Replies = callAll(System, {{"vm-1", completion("a@1", "x", 100)},
                                    {"vm-2", completion("b@1", "x", 100)},
                                    {"vm-3", completion("c@1", "x", 100)}});
    CHECK(falseRefusals(System, Replies).empty());
    REQUIRE(evictionsWhileServing(System).empty());
  }

  SECTION("while the data centre is cut off from the platform") {
    Fleet System(Plan);
    callAll(System, competingRequests({"vm-1", "vm-2"}));
    // Two of the three adapters stay resident; while the engine has no owner,
    // none can be loaded.
    REQUIRE(System.call("vm-1", completion("d@1", "x", 5)).Status_ == 200);
    System.setPlatformLinks("cut");
    eventually([] { return false; }, PauseBeyondLease);
    auto Long = beginStream(System, "vm-1", "d@1", 100);
    callAll(System, competingRequests({"vm-2", "vm-3"}));
    CallerReply Reply = Long->finish(SettleTimeout);
    INFO(Reply.Status_ << Reply.Body_);
    CHECK(streamedText(Reply.Body_) == expectedText("d@1", 100));
    CHECK(evictionsWhileServing(System).empty());
  }
}
