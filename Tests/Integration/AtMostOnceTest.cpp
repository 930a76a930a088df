#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

#include <future>

using namespace anvil;
using nlohmann::json;

/// How often the service ran the request of an idempotency key.
static int runsOf(Fleet &System, const std::string &IdempotencyKey) {
  int Runs = 0;
  for (const json &Made : System.records("service", "call"))
    Runs += Made["headers"].value("idempotency-key", "") == IdempotencyKey;
  return Runs;
}

TEST_CASE("a request that may not be repeated runs at most once",
          "[at-most-once]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "north"}};
  Plan.Objects_ = {object("route", "bookings", {{"deadline_ms", 4000}})};
  Fleet System(Plan);
  Call Van = booking("van", "{}");
  auto Book = [&](const std::string &Vm) { return System.call(Vm, Van); };
  auto Start = [&](const std::string &Vm) {
    return std::async(std::launch::async, callOnce,
                      System.at(Vm).port("caller"), Van, Millis(8000));
  };
  auto ServiceHasIt = [&] { return runsOf(System, "van") > 0; };
  /// Sends it again through all VMs until it has an answer that is final.
  auto Resend = [&] {
    for (int Round = 0; Round < 2; ++Round)
      for (const char *Vm : {"vm-2", "vm-3", "vm-1"})
        if (!System.at(Vm).diedByItself())
          Book(Vm);
  };

  SECTION("when it is sent through all VMs at once") {
    System.control("service", {{"delay_ms", 300}});
    std::vector<Sent> Requests;
    for (int Number = 0; Number < 4; ++Number)
      for (const std::string &Vm : System.vmNames())
        Requests.push_back({Vm, Van});
    auto Answers = callAll(System, Requests);
    for (const Answer &Given : Answers)
      CHECK((Given.Status_ == 200 || Given.problem("code") == "in_progress"));
    CHECK(Book("vm-3").Status_ == 200);
    REQUIRE(runsOf(System, "van") == 1);
  }

  SECTION("when the service's answer gets lost") {
    System.control("service", {{"drop_answers", 1}});
    Answer Given = Book("vm-1");
    CHECK(Given.problem("ran") == "unknown");
    Resend();
    REQUIRE(runsOf(System, "van") == 1);
  }

  SECTION("when the network loses the answer") {
    System.link("service", "drop_answer");
    CHECK(Book("vm-1").problem("ran") == "unknown");
    Resend();
    REQUIRE(runsOf(System, "van") == 1);
  }

  SECTION("when its VM is killed in the middle of it") {
    System.control("service", {{"delay_ms", 1000}});
    auto First = Start("vm-1");
    REQUIRE(eventually(ServiceHasIt, SettleBound));
    System.at("vm-1").kill();
    First.get();
    System.startVm("vm-1");
    Resend();
    eventually([] { return false; }, Millis(1500));
    Resend();
    REQUIRE(runsOf(System, "van") == 1);
    CHECK(eventually(
        [&] {
          Answer Given = Book("vm-2");
          return Given.problem("code") == "outcome_unknown" ||
                 Given.Status_ == 200;
        },
        SettleBound));
  }

  SECTION("when its VM is killed in the middle of the claim") {
    System.control("platform", {{"delay_ms", 400}});
    auto First = Start("vm-1");
    eventually([] { return false; }, Millis(200));
    System.at("vm-1").kill();
    First.get();
    System.control("platform", {{"delay_ms", 0}});
    Resend();
    CHECK(runsOf(System, "van") <= 1);
  }

  SECTION("when its VM is paused between claim and dispatch, and goes on") {
    System.control("platform", {{"delay_ms", 400}});
    auto First = Start("vm-1");
    eventually([] { return false; }, Millis(200));
    System.at("vm-1").signal(SIGSTOP);
    System.control("platform", {{"delay_ms", 0}});
    eventually([] { return false; }, PauseBeyondLease);
    callAll(System, {{"vm-2", Van}, {"vm-3", Van}});
    System.at("vm-1").signal(SIGCONT);
    First.get();
    Resend();
    CHECK(runsOf(System, "van") <= 1);
  }

  SECTION("when the platform loses the answer to the claim") {
    System.control("platform", {{"lose_answers", 1}});
    Answer Given = Book("vm-1");
    CHECK(untrueRefusals(System, {Given}).empty());
    Resend();
    REQUIRE(runsOf(System, "van") == 1);
  }

  SECTION("when the platform is away, it is refused and nothing runs") {
    warmUp(System);
    System.platformLinks("cut");
    Answer Given = Book("vm-1");
    INFO(Given.Body_);
    CHECK(Given.Status_ == 503);
    CHECK(Given.problem("ran") == "no");
    CHECK(Given.Headers_.contains("retry-after"));
    CHECK(runsOf(System, "van") == 0);
    System.platformLinks("pass");
    CHECK(eventually([&] { return Book("vm-2").Status_ == 200; }, SettleBound));
    Resend();
    REQUIRE(runsOf(System, "van") == 1);
  }

  SECTION("when the platform goes away while it runs, and its VM dies") {
    System.control("service", {{"delay_ms", 1000}});
    auto First = Start("vm-1");
    REQUIRE(eventually(ServiceHasIt, SettleBound));
    System.platformLinks("cut");
    First.get();
    System.at("vm-1").kill();
    System.platformLinks("pass");
    System.startVm("vm-1");
    Resend();
    REQUIRE(runsOf(System, "van") == 1);
  }

  SECTION("with another body under the same key, it is a conflict") {
    CHECK(Book("vm-1").Status_ == 200);
    Answer Given = System.call("vm-2", booking("van", "{\"other\": 1}"));
    CHECK(Given.problem("code") == "idempotency_conflict");
    REQUIRE(runsOf(System, "van") == 1);
  }

  SECTION("another customer's same key is another request") {
    CHECK(Book("vm-1").Status_ == 200);
    Answer Given = System.call("vm-2", booking("van", "{}", "secret-small"));
    CHECK(Given.Status_ == 200);
    REQUIRE(runsOf(System, "van") == 2);
  }

  SECTION("without an idempotency key it is dispatched once") {
    System.control("service", {{"drop_answers", 1}});
    Answer Given = System.call("vm-1", booking("", "{}"));
    CHECK(Given.problem("ran") == "unknown");
    REQUIRE(System.records("service", "call").size() == 1);
  }
}

TEST_CASE("a request that crashes its targets is stopped", "[poison-request]") {
  FleetPlan Plan;
  for (int Number = 1; Number <= 5; ++Number)
    Plan.Engines_.push_back({"engine-" + std::to_string(Number), "north"});
  Plan.Engines_.erase(Plan.Engines_.begin(), Plan.Engines_.begin() + 2);
  Fleet System(Plan);
  Call Poison = completion("a@1", "crash-engine now", 5);

  for (bool Obeys : {true, false}) {
    DYNAMIC_SECTION("after two crashes, though it is sent through every VM, "
                    "heeding Retry-After: "
                    << Obeys) {
      for (int Round = 0; Round < 4; ++Round)
        for (const std::string &Vm : System.vmNames()) {
          Answer Given = System.call(Vm, Poison);
          if (Obeys && Given.Headers_.contains("retry-after"))
            std::this_thread::sleep_for(
                std::chrono::seconds(std::stoi(Given.Headers_["retry-after"])));
        }
      CHECK(System.engineRecords("crash").size() <= 3);
      Answer Given = System.call("vm-2", Poison);
      CHECK(Given.problem("code") == "quarantined");
      CHECK(Given.problem("ran") == "no");
    }
  }

  SECTION("while those that ran beside it are served") {
    Background Resending([&] { System.call("vm-1", Poison, Millis(2000)); });
    std::vector<Sent> Requests;
    for (int Number = 0; Number < 10; ++Number)
      Requests.push_back({"vm-2", completion("b@1", "innocent", 20)});
    for (int Round = 0; Round < 3; ++Round)
      callAll(System, Requests);
    CHECK(eventually(
        [&] {
          return System.call("vm-2", Requests[0].Request_).Status_ == 200;
        },
        SettleBound));
  }
}
