#include "Integration/Fleet.h"
#include "Integration/KeepAliveCallers.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

TEST_CASE("a leaving target gets no new requests after a few seconds",
          "[target-leaving]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "south"}};
  Plan.EngineOptions_ = {"--token-ms", "10"};
  Fleet System(Plan);
  std::atomic<int> Number = 0;
  auto RunCount = [&] { return System.records("engine-1", "run").size(); };

  auto LeaveAndCheck = [&] {
    auto Long = beginStream(System, "vm-1", "a@1", 1500);
    std::vector<std::unique_ptr<BackgroundLoop>> Load;
    for (const std::string &Vm : System.vmNames())
      Load.push_back(std::make_unique<BackgroundLoop>([&System, &Number, Vm] {
        std::string Model(1, static_cast<char>('a' + ++Number % 3));
        System.call(Vm, completion(Model, "x", 3), Millis(3000));
      }));
    CHECK(eventually([&] { return RunCount() > 5; }, SettleTimeout));
    json Leaving;
    for (const json &Object : System.objects())
      if (Object["name"] == "engine-1")
        Leaving = Object;
    Leaving["leaving"] = true;
    REQUIRE(System.apply("vm-1", {Leaving}).Status_ == 200);
    eventually([] { return false; }, GuaranteeTimeout);
    std::size_t RunsBefore = RunCount();
    std::size_t OtherRuns = System.records("engine-2", "run").size();
    eventually([] { return false; }, Millis(2000));
    CHECK(RunCount() == RunsBefore);
    CHECK(System.records("engine-2", "run").size() > OtherRuns);
    CHECK(streamedText(Long->finish(SettleTimeout).Body_) ==
          expectedText("a@1", 1500));
  };

  SECTION("without faults") { LeaveAndCheck(); }

  SECTION("when a data centre is cut off from the platform") {
    System.setPlatformLinks("cut", "south");
    LeaveAndCheck();
  }

  SECTION("when the platform is slow and links between VMs are cut one way") {
    System.control("platform", {{"delay_ms", 300}});
    System.setLink("vm-1>vm-3", "cut_to_target");
    System.setLink("vm-2>vm-3", "cut_to_target");
    LeaveAndCheck();
  }
}

TEST_CASE("a graceful shutdown cuts no request", "[graceful-shutdown]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "north"}};
  Plan.EngineOptions_ = {"--token-ms", "10"};
  Plan.Settings_ = {{"shutdown", {{"balancer_notice_ms", 500}}}};
  Fleet System(Plan);
  System.control("service", {{"delay_ms", 1000}});

  auto StopAndCheck = [&] {
    std::uint16_t Port = System.at("vm-1").port("caller");
    auto Long = beginStream(System, "vm-1", "a@1", 250);
    CallerConnection Booked(Port);
    Booked.send(booking("van", "{}"));
    CHECK(eventually(
        [&] { return System.records("service", "call").size() == 1; },
        SettleTimeout));
    System.at("vm-1").signal(SIGTERM);
    CallerRequest Ready{"GET", "/readyz", {}, ""};
    std::uint16_t Admin = System.at("vm-1").port("admin");
    CHECK(eventually([&] { return callOnce(Admin, Ready).Status_ != 200; },
                     Millis(400)));
    // The load balancer still sends requests to the VM.
    CallerConnection Late(Port);
    Late.send(completion("a@1", "late", 5));
    CallerReply LateReply = Late.finish(SettleTimeout);
    CHECK(LateReply.Status_ == 200);
    CHECK(LateReply.Headers_["connection"] == "close");
    CHECK(Booked.finish(SettleTimeout).Status_ == 200);
    CallerReply Reply = Long->finish(SettleTimeout);
    CHECK(streamedText(Reply.Body_) == expectedText("a@1", 250));
    CHECK(Reply.isCompleteStream());
    CHECK(System.at("vm-1").exitStatus(SettleTimeout) == 0);
    CHECK(System.call("vm-2", booking("van", "{}")).Status_ == 200);
    CHECK(System.records("service", "call").size() == 1);
    CHECK(System.call("vm-3", completion("b", "x", 5)).Status_ == 200);
  };

  SECTION("without faults") { StopAndCheck(); }

  SECTION("while other callers send to it and to its peers") {
    std::atomic<int> Cut = 0;
    std::vector<std::unique_ptr<BackgroundLoop>> Load;
    for (const char *Vm : {"vm-1", "vm-2"})
      Load.push_back(std::make_unique<BackgroundLoop>([&System, &Cut, Vm] {
        CallerReply Reply = System.call(Vm, completion("c", "x", 5, true));
        // Status 0 is a refused connection, which callers retry on another
        // VM.
        Cut += Reply.Status_ != 0 && !Reply.isCompleteStream();
      }));
    StopAndCheck();
    Load.clear();
    CHECK(Cut == 0);
  }

  SECTION("while its peers are unreachable") {
    for (const char *Link :
         {"vm-1>vm-2", "vm-1>vm-3", "vm-2>vm-1", "vm-3>vm-1"})
      System.setLink(Link, "cut");
    StopAndCheck();
  }

  SECTION("while the platform is slow") {
    System.control("platform", {{"delay_ms", 200}});
    StopAndCheck();
  }
}

TEST_CASE("a request that crosses the idle close of a stopping VM is either "
          "replied to or not run",
          "[idle-close]") {
  constexpr Millis Notice{1500};
  constexpr std::size_t Count = 600;
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--token-ms", "1"};
  Plan.Settings_ = {{"shutdown", {{"balancer_notice_ms", Notice.count()}}}};
  Fleet System(Plan);
  warmUp(System);
  for (const std::string Vm : {"vm-1", "vm-2"}) {
    KeepAliveCallers Callers(System.at(Vm).port("caller"), "crossing-" + Vm,
                             Count,
                             [](std::size_t Caller, const std::string &Id) {
                               bool IsStream = Caller % 2 == 1;
                               return completion("a@1", Id, 2, IsStream);
                             });
    REQUIRE(Callers.primeConnections());
    System.at(Vm).signal(SIGTERM);
    Callers.sendAround(std::chrono::steady_clock::now() + Notice);
    Callers.finish();
    CHECK(System.at(Vm).exitStatus(SettleTimeout) == 0);
    std::size_t CompleteCount = Callers.completeCount();
    if (CompleteCount == 0 || CompleteCount == Count)
      WARN(Vm << " answered " << CompleteCount
              << "; possibly no request crossed the idle close");
    std::set<std::string> Executed;
    for (const json &Run : System.engineRecords("run"))
      Executed.insert(Run["prompt"]);
    auto Lost = Callers.executedWithoutReply(Executed);
    INFO(Vm << " answered " << CompleteCount << " of " << Count << ", ran "
            << Lost.size() << " without a reply");
    CHECK(Lost == std::vector<std::string>{});
    CHECK(Callers.truncatedReplies() == std::vector<std::string>{});
  }
}

TEST_CASE("a shutdown that cuts requests exits with status 0",
          "[graceful-shutdown]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}};
  Plan.EngineOptions_ = {"--token-ms", "10"};
  Plan.Settings_ = {
      {"shutdown", {{"balancer_notice_ms", 200}, {"drain_ms", 500}}}};
  Fleet System(Plan);
  System.control("service", {{"delay_ms", 20000}});
  std::vector<std::unique_ptr<CallerConnection>> Cut;
  for (int Number = 0; Number < 3; ++Number)
    Cut.push_back(beginStream(System, "vm-1", "a@1", 1500));
  CallerConnection Booked(System.at("vm-1").port("caller"));
  Booked.send(booking("van", "{}"));
  CHECK(
      eventually([&] { return System.records("service", "call").size() == 1; },
                 SettleTimeout));
  System.at("vm-1").signal(SIGTERM);
  CHECK(System.at("vm-1").exitStatus(SettleTimeout) == 0);
  for (const auto &Stream : Cut)
    CHECK_FALSE(Stream->finish(SettleTimeout).isCompleteStream());
}
