#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

#include <future>

using namespace anvil;
using nlohmann::json;

/// How often the service ran the request with an idempotency key.
static int runCount(Fleet &System, const std::string &IdempotencyKey) {
  int Runs = 0;
  for (const json &Record : System.records("service", "call"))
    Runs += Record["headers"].value("idempotency-key", "") == IdempotencyKey;
  return Runs;
}

TEST_CASE("a request that may not be repeated runs at most once",
          "[at-most-once]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "north"}};
  Plan.Objects_ = {object("route", "bookings", {{"deadline_ms", 4000}})};
  Fleet System(Plan);
  CallerRequest Request = booking("van", "{}");
  auto SendBooking = [&](const std::string &Vm) {
    return System.call(Vm, Request);
  };
  auto Start = [&](const std::string &Vm) {
    return std::async(std::launch::async, callOnce,
                      System.at(Vm).port("caller"), Request, Millis(8000));
  };
  auto HasRun = [&] { return runCount(System, "van") > 0; };
  /// Sends the request again, twice through each VM that has not crashed.
  auto Resend = [&] {
    for (int Round = 0; Round < 2; ++Round)
      for (const char *Vm : {"vm-2", "vm-3", "vm-1"})
        if (!System.at(Vm).exitedUnexpectedly())
          SendBooking(Vm);
  };

  SECTION("when it is sent through all VMs at once") {
    System.control("service", {{"delay_ms", 300}});
    std::vector<VmRequest> Requests;
    for (int Number = 0; Number < 4; ++Number)
      for (const std::string &Vm : System.vmNames())
        Requests.push_back({Vm, Request});
    auto Replies = callAll(System, Requests);
    for (const CallerReply &Reply : Replies)
      CHECK((Reply.Status_ == 200 || Reply.problem("code") == "in_progress"));
    CHECK(SendBooking("vm-3").Status_ == 200);
    REQUIRE(runCount(System, "van") == 1);
  }

  SECTION("when the service closes the connection without a reply") {
    System.control("service", {{"drop_answers", 1}});
    CallerReply Reply = SendBooking("vm-1");
    CHECK(Reply.problem("ran") == "unknown");
    Resend();
    REQUIRE(runCount(System, "van") == 1);
  }

  SECTION("when the network loses the reply") {
    System.setLink("service", "drop_answer");
    CHECK(SendBooking("vm-1").problem("ran") == "unknown");
    Resend();
    REQUIRE(runCount(System, "van") == 1);
  }

  SECTION("when its VM is killed while the service runs it") {
    System.control("service", {{"delay_ms", 1000}});
    auto First = Start("vm-1");
    REQUIRE(eventually(HasRun, SettleTimeout));
    System.at("vm-1").kill();
    First.get();
    System.startVm("vm-1");
    Resend();
    eventually([] { return false; }, Millis(1500));
    Resend();
    REQUIRE(runCount(System, "van") == 1);
    CHECK(eventually(
        [&] {
          CallerReply Reply = SendBooking("vm-2");
          return Reply.problem("code") == "outcome_unknown" ||
                 Reply.Status_ == 200;
        },
        SettleTimeout));
  }

  SECTION("when its VM is killed during the claim") {
    System.control("platform", {{"delay_ms", 400}});
    auto First = Start("vm-1");
    eventually([] { return false; }, Millis(200));
    System.at("vm-1").kill();
    First.get();
    System.control("platform", {{"delay_ms", 0}});
    Resend();
    CHECK(runCount(System, "van") <= 1);
  }

  SECTION("when its VM is paused between claim and dispatch, then resumed") {
    System.control("platform", {{"delay_ms", 400}});
    auto First = Start("vm-1");
    eventually([] { return false; }, Millis(200));
    System.at("vm-1").signal(SIGSTOP);
    System.control("platform", {{"delay_ms", 0}});
    eventually([] { return false; }, PauseBeyondLease);
    callAll(System, {{"vm-2", Request}, {"vm-3", Request}});
    System.at("vm-1").signal(SIGCONT);
    First.get();
    Resend();
    CHECK(runCount(System, "van") <= 1);
  }

  SECTION("when the platform loses the reply to the claim") {
    System.control("platform", {{"lose_answers", 1}});
    CallerReply Reply = SendBooking("vm-1");
    CHECK(falseRefusals(System, {Reply}).empty());
    Resend();
    REQUIRE(runCount(System, "van") == 1);
  }

  SECTION("when the platform is unreachable, it is refused and not run") {
    warmUp(System);
    System.setPlatformLinks("cut");
    CallerReply Reply = SendBooking("vm-1");
    INFO(Reply.Body_);
    CHECK(Reply.Status_ == 503);
    CHECK(Reply.problem("ran") == "no");
    CHECK(Reply.Headers_.contains("retry-after"));
    CHECK(runCount(System, "van") == 0);
    System.setPlatformLinks("pass");
    CHECK(eventually([&] { return SendBooking("vm-2").Status_ == 200; },
                     SettleTimeout));
    Resend();
    REQUIRE(runCount(System, "van") == 1);
  }

  SECTION(
      "when the platform becomes unreachable while it runs, and its VM dies") {
    System.control("service", {{"delay_ms", 1000}});
    auto First = Start("vm-1");
    REQUIRE(eventually(HasRun, SettleTimeout));
    System.setPlatformLinks("cut");
    First.get();
    System.at("vm-1").kill();
    System.setPlatformLinks("pass");
    System.startVm("vm-1");
    Resend();
    REQUIRE(runCount(System, "van") == 1);
  }

  SECTION("with another body under the same key, it is a conflict") {
    CHECK(SendBooking("vm-1").Status_ == 200);
    CallerReply Reply = System.call("vm-2", booking("van", "{\"other\": 1}"));
    CHECK(Reply.problem("code") == "idempotency_conflict");
    REQUIRE(runCount(System, "van") == 1);
  }

  SECTION("the same key of another customer is another request") {
    CHECK(SendBooking("vm-1").Status_ == 200);
    CallerReply Reply =
        System.call("vm-2", booking("van", "{}", "secret-small"));
    CHECK(Reply.Status_ == 200);
    REQUIRE(runCount(System, "van") == 2);
  }

  SECTION("without an idempotency key it is dispatched once") {
    System.control("service", {{"drop_answers", 1}});
    CallerReply Reply = System.call("vm-1", booking("", "{}"));
    CHECK(Reply.problem("ran") == "unknown");
    REQUIRE(System.records("service", "call").size() == 1);
  }
}

TEST_CASE("a request that crashes its targets is quarantined",
          "[poison-request]") {
  FleetPlan Plan;
  for (int Number = 1; Number <= 5; ++Number)
    Plan.Engines_.push_back({"engine-" + std::to_string(Number), "north"});
  Plan.Engines_.erase(Plan.Engines_.begin(), Plan.Engines_.begin() + 2);
  Fleet System(Plan);
  CallerRequest Poison = completion("a@1", "crash-engine now", 5);

  for (bool HonoursRetryAfter : {true, false}) {
    DYNAMIC_SECTION("after two crashes, though it is sent through every VM, "
                    "heeding Retry-After: "
                    << HonoursRetryAfter) {
      for (int Round = 0; Round < 4; ++Round)
        for (const std::string &Vm : System.vmNames()) {
          CallerReply Reply = System.call(Vm, Poison);
          if (HonoursRetryAfter && Reply.Headers_.contains("retry-after"))
            std::this_thread::sleep_for(
                std::chrono::seconds(std::stoi(Reply.Headers_["retry-after"])));
        }
      CHECK(System.engineRecords("crash").size() <= 3);
      CallerReply Reply = System.call("vm-2", Poison);
      CHECK(Reply.problem("code") == "quarantined");
      CHECK(Reply.problem("ran") == "no");
    }
  }

  SECTION("while requests that ran on the same engines are served") {
    BackgroundLoop Resending(
        [&] { System.call("vm-1", Poison, Millis(2000)); });
    std::vector<VmRequest> Requests;
    for (int Number = 0; Number < 10; ++Number)
      Requests.push_back({"vm-2", completion("b@1", "innocent", 20)});
    for (int Round = 0; Round < 3; ++Round)
      callAll(System, Requests);
    CHECK(eventually(
        [&] {
          return System.call("vm-2", Requests[0].Request_).Status_ == 200;
        },
        SettleTimeout));
  }
}
