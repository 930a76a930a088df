#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

/// Whether a reply is the complete reply to this request, or an error or an
/// incomplete reply.
static bool isCorrectOrFailed(const CallerReply &Reply,
                              const std::string &Model, int Tokens) {
  if (Reply.Body_.find("misdirected") != std::string::npos)
    return false;
  if (Reply.Status_ != 200 || !Reply.Complete_)
    return true;
  auto Body = Reply.json();
  if (Body.is_object())
    return Body["choices"][0]["text"] == expectedText(Model, Tokens);
  return !Reply.isCompleteStream() ||
         streamedText(Reply.Body_) == expectedText(Model, Tokens);
}

TEST_CASE("a caller gets the complete reply to its own request",
          "[response-identity]") {
  static constexpr int Tokens = 40;
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--token-ms", "5"};
  Plan.Objects_ = {object("route", "models", {{"deadline_ms", 5000}})};
  Fleet System(Plan);
  auto SendMany = [&](bool IsStream) {
    std::vector<VmRequest> Requests;
    for (int Number = 0; Number < 6; ++Number)
      for (const std::string &Vm : System.vmNames())
        Requests.push_back({Vm, completion(Number % 2 ? "a@1" : "b@2", "x",
                                           Tokens, IsStream)});
    auto Replies = callAll(System, Requests);
    int Served = 0;
    for (std::size_t Index = 0; Index < Replies.size(); ++Index) {
      std::string Model = Index / 2 % 2 ? "a@1" : "b@2";
      INFO(Replies[Index].Status_ << " " << Replies[Index].Body_);
      CHECK(isCorrectOrFailed(Replies[Index], Model, Tokens));
      Served += Replies[Index].Status_ == 200;
    }
    CHECK(falseRefusals(System, Replies).empty());
    return Served;
  };
  auto ControlEngines = [&](const json &Change) {
    System.control("engine-1", Change);
    System.control("engine-2", Change);
  };

  for (bool IsStream : {false, true}) {
    DYNAMIC_SECTION("when replies name another request, stream " << IsStream) {
      ControlEngines({{"crossed_ids", 3}});
      CHECK(SendMany(IsStream) > 0);
    }

    DYNAMIC_SECTION("when replies name another adapter, stream " << IsStream) {
      ControlEngines({{"crossed_models", 3}});
      CHECK(SendMany(IsStream) > 0);
    }

    DYNAMIC_SECTION("when replies come after the next request began, stream "
                    << IsStream) {
      ControlEngines({{"hold_answers", 3}});
      CHECK(SendMany(IsStream) > 0);
    }

    DYNAMIC_SECTION(
        "when connections break and engines restart during requests, "
        "stream "
        << IsStream) {
      BackgroundLoop Faults([&] {
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

  SECTION("when a request is frozen past its deadline and its reply comes "
          "later") {
    System.setLink("engine-1", "freeze");
    System.setLink("engine-2", "freeze");
    CallerConnection KeepAlive(System.at("vm-1").port("caller"));
    KeepAlive.send(completion("a@1", "frozen", 5));
    CallerReply First = KeepAlive.finish(SettleTimeout);
    CHECK(First.Status_ >= 500);
    System.setLink("engine-1", "pass");
    System.setLink("engine-2", "pass");
    KeepAlive.send(completion("b@1", "next", 7));
    CallerReply Next = KeepAlive.finish(SettleTimeout);
    INFO(Next.Body_);
    CHECK(isCorrectOrFailed(Next, "b@1", 7));
  }
}

TEST_CASE("a request that is reported as not run has not run",
          "[refusal-truth]") {
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--adapter-slots", "2", "--token-ms", "2"};
  Plan.TargetFields_ = {{"adapter_slots", 2}};
  Plan.Objects_ = {object("route", "models", {{"deadline_ms", 3000}}),
                   object("route", "bookings", {{"deadline_ms", 3000}})};
  Fleet System(Plan);
  int RequestNumber = 0;
  auto SendBatch = [&](const std::string &PoisonPrompt = "x") {
    std::vector<VmRequest> Requests;
    for (const std::string &Vm : System.vmNames())
      for (int Number = 0; Number < 4; ++Number) {
        std::string Key =
            std::to_string(++RequestNumber) + Vm + std::to_string(Number);
        bool IsStream = Number % 2 == 0;
        const char *Models[] = {"a@1", "b@1", "c@1", "d@1"};
        Requests.push_back(
            {Vm, completion(Models[Number], PoisonPrompt, 20, IsStream)});
        Requests.push_back({Vm, booking(Key, "{}")});
      }
    auto Replies = callAll(System, Requests, Millis(8000));
    for (const CallerReply &Reply : Replies) {
      INFO(Reply.Status_ << " " << Reply.Body_);
      CHECK(Reply.Status_ != 0);
      bool IsRetryable = Reply.Status_ == 429 || Reply.Status_ == 503;
      if (IsRetryable)
        CHECK(Reply.Headers_.contains("retry-after"));
    }
    auto FalseRefusals = falseRefusals(System, Replies);
    INFO((FalseRefusals.empty() ? "" : FalseRefusals.front()));
    CHECK(FalseRefusals.empty());
  };

  for (const char *Mode :
       {"reset", "drop_answer", "freeze", "cut_to_target", "cut_to_client"})
    DYNAMIC_SECTION("when the links to the targets have the fault " << Mode) {
      for (const char *Link : {"engine-1", "engine-2", "service"})
        System.setLink(Link, Mode);
      SendBatch();
      for (const char *Link : {"engine-1", "engine-2", "service"})
        System.setLink(Link, "pass");
      SendBatch();
    }

  SECTION("when loads fail and the platform loses replies") {
    System.control("engine-1", {{"fail_loads", 3}});
    System.control("engine-2", {{"fail_loads", 3}});
    System.control("platform", {{"lose_answers", 6}});
    SendBatch();
  }

  SECTION("when all VMs are cut off from the platform and engines crash") {
    System.setPlatformLinks("cut");
    SendBatch("crash-engine");
    SendBatch();
  }
}
