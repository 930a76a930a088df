#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

/// Whether an answer is the whole one to the request, or an honest failure.
static bool isOwnOrFailed(const Answer &Given, const std::string &Model,
                          int Tokens) {
  if (Given.Body_.find("misdirected") != std::string::npos)
    return false;
  if (Given.Status_ != 200 || !Given.Whole_)
    return true;
  auto Body = Given.json();
  if (Body.is_object())
    return Body["choices"][0]["text"] == words(Model, Tokens);
  return !Given.isWholeStream() ||
         streamedText(Given.Body_) == words(Model, Tokens);
}

TEST_CASE("a caller gets the whole answer to its own request",
          "[response-identity]") {
  static constexpr int Tokens = 40;
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--token-ms", "5"};
  Plan.Objects_ = {object("route", "models", {{"deadline_ms", 5000}})};
  Fleet System(Plan);
  auto SendMany = [&](bool IsStream) {
    std::vector<Sent> Requests;
    for (int Number = 0; Number < 6; ++Number)
      for (const std::string &Vm : System.vmNames())
        Requests.push_back({Vm, completion(Number % 2 ? "a@1" : "b@2", "x",
                                           Tokens, IsStream)});
    auto Answers = callAll(System, Requests);
    int Served = 0;
    for (std::size_t Index = 0; Index < Answers.size(); ++Index) {
      std::string Model = Index / 2 % 2 ? "a@1" : "b@2";
      INFO(Answers[Index].Status_ << " " << Answers[Index].Body_);
      CHECK(isOwnOrFailed(Answers[Index], Model, Tokens));
      Served += Answers[Index].Status_ == 200;
    }
    CHECK(untrueRefusals(System, Answers).empty());
    return Served;
  };
  auto ControlEngines = [&](const json &Change) {
    System.control("engine-1", Change);
    System.control("engine-2", Change);
  };

  for (bool IsStream : {false, true}) {
    DYNAMIC_SECTION("when answers name another request, stream " << IsStream) {
      ControlEngines({{"crossed_ids", 3}});
      CHECK(SendMany(IsStream) > 0);
    }

    DYNAMIC_SECTION("when they name another adapter, stream " << IsStream) {
      ControlEngines({{"crossed_models", 3}});
      CHECK(SendMany(IsStream) > 0);
    }

    DYNAMIC_SECTION("when they come after the next request began, stream "
                    << IsStream) {
      ControlEngines({{"hold_answers", 3}});
      CHECK(SendMany(IsStream) > 0);
    }

    DYNAMIC_SECTION("when connections break and engines restart in the middle, "
                    "stream "
                    << IsStream) {
      Background Faults([&] {
        for (const char *Engine : {"engine-1", "engine-2"}) {
          sendJson(System.at("proxy").port("admin"), "POST", "/control",
                   {{"link", Engine}, {"mode", "reset"}});
          sendJson(System.at("proxy").port("admin"), "POST", "/control",
                   {{"link", Engine}, {"mode", "pass"}});
          eventually([] { return false; }, Millis(120));
          sendJson(System.at(Engine).port(), "POST", "/control",
                   {{"crash", true}});
        }
      });
      SendMany(IsStream);
      SendMany(IsStream);
    }
  }

  SECTION("when a stream carries the events of another request") {
    ControlEngines({{"crossed_events", 3}});
    SendMany(true);
  }

  SECTION("when a request is frozen past its deadline and its answer comes "
          "later") {
    System.link("engine-1", "freeze");
    System.link("engine-2", "freeze");
    CallerConnection Kept(System.at("vm-1").port("caller"));
    Kept.send(completion("a@1", "frozen", 5));
    Answer First = Kept.finish(SettleBound);
    CHECK(First.Status_ >= 500);
    System.link("engine-1", "pass");
    System.link("engine-2", "pass");
    Kept.send(completion("b@1", "next", 7));
    Answer Next = Kept.finish(SettleBound);
    INFO(Next.Body_);
    CHECK(isOwnOrFailed(Next, "b@1", 7));
  }
}

TEST_CASE("a refusal that says not run is true", "[refusal-truth]") {
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--adapter-slots", "2", "--token-ms", "2"};
  Plan.TargetFields_ = {{"adapter_slots", 2}};
  Plan.Objects_ = {object("route", "models", {{"deadline_ms", 3000}}),
                   object("route", "bookings", {{"deadline_ms", 3000}})};
  Fleet System(Plan);
  int Wave = 0;
  auto SendWave = [&](const std::string &PoisonPrompt = "x") {
    std::vector<Sent> Requests;
    for (const std::string &Vm : System.vmNames())
      for (int Number = 0; Number < 4; ++Number) {
        std::string Key = std::to_string(++Wave) + Vm + std::to_string(Number);
        bool IsStream = Number % 2 == 0;
        const char *Models[] = {"a@1", "b@1", "c@1", "d@1"};
        Requests.push_back(
            {Vm, completion(Models[Number], PoisonPrompt, 20, IsStream)});
        Requests.push_back({Vm, booking(Key, "{}")});
      }
    auto Answers = callAll(System, Requests, Millis(8000));
    for (const Answer &Given : Answers) {
      INFO(Given.Status_ << " " << Given.Body_);
      CHECK(Given.Status_ != 0);
      bool ComesBack = Given.Status_ == 429 || Given.Status_ == 503;
      if (ComesBack)
        CHECK(Given.Headers_.contains("retry-after"));
    }
    auto Untrue = untrueRefusals(System, Answers);
    INFO((Untrue.empty() ? "" : Untrue.front()));
    CHECK(Untrue.empty());
  };

  for (const char *Mode :
       {"reset", "drop_answer", "freeze", "cut_to_target", "cut_to_client"})
    DYNAMIC_SECTION("when the links to the targets do: " << Mode) {
      for (const char *Link : {"engine-1", "engine-2", "service"})
        System.link(Link, Mode);
      SendWave();
      for (const char *Link : {"engine-1", "engine-2", "service"})
        System.link(Link, "pass");
      SendWave();
    }

  SECTION("when loads fail and the platform loses answers") {
    System.control("engine-1", {{"fail_loads", 3}});
    System.control("engine-2", {{"fail_loads", 3}});
    System.control("platform", {{"lose_answers", 6}});
    SendWave();
  }

  SECTION("when the platform is cut for all and engines crash") {
    System.platformLinks("cut");
    SendWave("crash-engine");
    SendWave();
  }
}
