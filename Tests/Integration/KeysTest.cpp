#include "Integration/Fleet.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

static constexpr const char *LargeSecret = "secret-large";
static constexpr const char *SmallSecret = "secret-small";

TEST_CASE("a request runs only for the customer whose key came with it",
          "[customer-auth]") {
  FleetPlan Plan;
  json Versions{{{"name", "1"}, {"weights", "w/1"}}};
  Plan.Objects_ = {object("adapter", "private",
                          {{"base_model", "base"},
                           {"versions", Versions},
                           {"current_version", "1"},
                           {"customers", {"large"}}})};
  Fleet System(Plan);
  warmUp(System);

  auto Check = [&] {
    for (const std::string &Vm : System.vmNames()) {
      CallerRequest Spoofed = completion("a@1", "small", 2, false, SmallSecret);
      Spoofed.Headers_.push_back({"X-Customer", "large"});
      CHECK(System.call(Vm, Spoofed).Status_ == 200);
      CHECK(System.call(Vm, completion("private", "large", 2)).Status_ == 200);
      CallerRequest Foreign =
          completion("private", "refused", 2, false, SmallSecret);
      CHECK(System.call(Vm, Foreign).Status_ == 404);
      CallerRequest Wrong =
          completion("a@1", "refused", 2, false, "secret-larg");
      CHECK(System.call(Vm, Wrong).Status_ == 401);
      CallerRequest NoKey = completion("a@1", "refused", 2, false, "");
      CHECK(System.call(Vm, NoKey).Status_ == 401);
      CallerRequest Open{"POST", "/open/v1/any", {}, "{}"};
      CHECK(System.call(Vm, Open).Status_ == 200);
    }
    for (const json &Run : System.engineRecords("run"))
      CHECK(Run["customer"] == Run["prompt"]);
    for (const json &Run : System.records("service", "call"))
      CHECK(Run["headers"].value("x-customer", "") == "");
  };

  SECTION("without faults") { Check(); }

  SECTION("while the platform is slow") {
    System.control("platform", {{"delay_ms", 300}});
    Check();
  }

  SECTION("while the data centre is cut off from the platform") {
    System.setPlatformLinks("cut");
    Check();
  }
}

TEST_CASE("no target sees a caller's key", "[key-hidden]") {
  Fleet System;
  auto WithKeyEverywhere = [](CallerRequest Request) {
    for (const char *Name :
         {"X-Api-Key", "Cookie", "Proxy-Authorization", "X-Forwarded-Key"})
      Request.Headers_.push_back({Name, LargeSecret});
    return Request;
  };
  std::vector<VmRequest> Requests;
  for (const std::string &Vm : System.vmNames())
    for (int Number = 0; Number < 4; ++Number) {
      bool IsStream = Number % 2 == 0;
      Requests.push_back(
          {Vm, WithKeyEverywhere(completion("a@1", "x", 30, IsStream))});
      Requests.push_back(
          {Vm, WithKeyEverywhere(booking(Vm + std::to_string(Number), "{}"))});
    }

  SECTION("without faults") { callAll(System, Requests); }

  SECTION("when requests are retried after resets and crashes") {
    System.setLink("engine-1", "reset");
    System.setLink("service", "drop_answer");
    BackgroundLoop Crashes([&] {
      sendJson(System.at("engine-2").port(), "POST", "/control",
               {{"crash", true}});
      eventually([] { return false; }, Millis(50));
    });
    callAll(System, Requests);
  }

  REQUIRE(System.records("service", "call").size() > 0);
  for (const char *Standin : {"engine-1", "engine-2", "service", "platform"}) {
    std::string Recorded = System.records(Standin).dump();
    CHECK(Recorded.find(LargeSecret) == std::string::npos);
  }
}

TEST_CASE("a withdrawn key stops working within seconds", "[key-withdrawal]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "south"}};
  Plan.Engines_ = {{"engine-1", "north"}, {"engine-2", "south"}};
  Plan.EngineOptions_ = {"--token-ms", "20"};
  Plan.Objects_ = {object("customer", "large", {{"offline_key_seconds", 0}})};
  Fleet System(Plan);
  warmUp(System);
  CallerRequest Short = completion("a@1", "x", 2);

  /// Withdraws the key and checks that every VM refuses it, also on connections
  /// that were open.
  auto WithdrawAndCheck = [&](const std::vector<std::string> &Vms) {
    std::vector<std::unique_ptr<CallerConnection>> Streams;
    std::vector<std::unique_ptr<CallerConnection>> KeepAlive;
    for (const std::string &Vm : Vms) {
      std::uint16_t Port = System.at(Vm).port("caller");
      Streams.push_back(beginStream(System, Vm, "a@1", 5000));
      KeepAlive.push_back(std::make_unique<CallerConnection>(Port));
      KeepAlive.back()->send(Short);
      CHECK(KeepAlive.back()->finish(SettleTimeout).Status_ == 200);
    }
    CallerReply Done = System.apply("vm-1", {keyObject("large", true)});
    INFO(Done.Body_);
    REQUIRE(Done.Status_ == 200);
    auto End = std::chrono::steady_clock::now() + GuaranteeTimeout;
    auto TimeLeft = [&] {
      auto Now = std::chrono::steady_clock::now();
      return std::chrono::ceil<Millis>(End - Now);
    };
    for (std::size_t Index = 0; Index < Vms.size(); ++Index) {
      INFO(Vms[Index]);
      CHECK(Streams[Index]->closedWithin(TimeLeft()));
      CHECK_FALSE(Streams[Index]->partialReply().isCompleteStream());
      bool Refused = eventually(
          [&] {
            KeepAlive[Index]->send(Short);
            int Status = KeepAlive[Index]->finish(GuaranteeTimeout).Status_;
            return Status != 200;
          },
          TimeLeft());
      CHECK(Refused);
      CHECK(System.call(Vms[Index], Short).Status_ != 200);
    }
    std::size_t Runs = System.engineRecords("run").size();
    for (const std::string &Vm : Vms)
      System.call(Vm, Short);
    CHECK(System.engineRecords("run").size() == Runs);
  };

  SECTION("for connected and streaming callers of every VM") {
    WithdrawAndCheck(System.vmNames());
  }

  SECTION("while the platform is slow") {
    System.control("platform", {{"delay_ms", 300}});
    WithdrawAndCheck(System.vmNames());
  }

  SECTION("in a data centre cut off from the platform, but not its peers") {
    System.setPlatformLinks("cut", "south");
    WithdrawAndCheck(System.vmNames());
  }

  SECTION("in a data centre cut off from its peers, but not the platform") {
    System.setDataCentreLinks("south", "cut");
    WithdrawAndCheck(System.vmNames());
  }

  SECTION("in a data centre cut off from both, with a customer that allows "
          "no offline use of keys") {
    System.setPlatformLinks("cut", "south");
    System.setDataCentreLinks("south", "cut");
    System.apply("vm-1", {keyObject("large", true)});
    CHECK(eventually([&] { return System.call("vm-3", Short).Status_ != 200; },
                     GuaranteeTimeout));
    CallerRequest Open{"POST", "/open/v1/any", {}, "{}"};
    CHECK(System.call("vm-3", Open).Status_ == 200);
  }

  SECTION("on a VM that starts afterwards without the platform") {
    REQUIRE(System.apply("vm-1", {keyObject("large", true)}).Status_ == 200);
    CHECK(System.waitForRevision(2, System.vmNames(), GuaranteeTimeout));
    System.at("vm-2").kill();
    System.setPlatformLinks("cut");
    System.startVm("vm-2");
    eventually([] { return false; }, Millis(2000));
    CHECK(System.call("vm-2", Short).Status_ != 200);
  }
}
