#include "Integration/Fleet.h"
#include "Integration/KeptCallers.h"

#include <catch2/catch.hpp>

using namespace anvil;
using nlohmann::json;

TEST_CASE("a leaving target gets no new work after a few seconds",
          "[target-leaving]") {
  FleetPlan Plan;
  Plan.Vms_ = {{"vm-1", "north"}, {"vm-2", "north"}, {"vm-3", "south"}};
  Plan.EngineOptions_ = {"--token-ms", "10"};
  Fleet System(Plan);
  std::atomic<int> Number = 0;
  auto Runs = [&] { return System.records("engine-1", "run").size(); };

  auto LeaveAndCheck = [&] {
    auto Long = beginStream(System, "vm-1", "a@1", 1500);
    std::vector<std::unique_ptr<Background>> Load;
    for (const std::string &Vm : System.vmNames())
      Load.push_back(std::make_unique<Background>([&System, &Number, Vm] {
        std::string Model(1, static_cast<char>('a' + ++Number % 3));
        System.call(Vm, completion(Model, "x", 3), Millis(3000));
      }));
    CHECK(eventually([&] { return Runs() > 5; }, SettleBound));
    json Leaving;
    for (const json &Known : System.objects())
      if (Known["name"] == "engine-1")
        Leaving = Known;
    Leaving["leaving"] = true;
    REQUIRE(System.apply("vm-1", {Leaving}).Status_ == 200);
    eventually([] { return false; }, PromiseBound);
    std::size_t Before = Runs();
    std::size_t Others = System.records("engine-2", "run").size();
    eventually([] { return false; }, Millis(2000));
    CHECK(Runs() == Before);
    CHECK(System.records("engine-2", "run").size() > Others);
    CHECK(streamedText(Long->finish(SettleBound).Body_) == words("a@1", 1500));
  };

  SECTION("in quiet times") { LeaveAndCheck(); }

  SECTION("when a data centre is cut from the platform") {
    System.platformLinks("cut", "south");
    LeaveAndCheck();
  }

  SECTION("when the platform is slow and VMs can't reach each other one way") {
    System.control("platform", {{"delay_ms", 300}});
    System.link("vm-1>vm-3", "cut_to_target");
    System.link("vm-2>vm-3", "cut_to_target");
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
        SettleBound));
    System.at("vm-1").signal(SIGTERM);
    Call Ready{"GET", "/readyz", {}, ""};
    std::uint16_t Admin = System.at("vm-1").port("admin");
    CHECK(eventually([&] { return callOnce(Admin, Ready).Status_ != 200; },
                     Millis(400)));
    // The balancer has not noticed yet.
    CallerConnection Late(Port);
    Late.send(completion("a@1", "late", 5));
    Answer LateAnswer = Late.finish(SettleBound);
    CHECK(LateAnswer.Status_ == 200);
    CHECK(LateAnswer.Headers_["connection"] == "close");
    CHECK(Booked.finish(SettleBound).Status_ == 200);
    Answer Given = Long->finish(SettleBound);
    CHECK(streamedText(Given.Body_) == words("a@1", 250));
    CHECK(Given.isWholeStream());
    CHECK(System.at("vm-1").exitStatus(SettleBound) == 0);
    CHECK(System.call("vm-2", booking("van", "{}")).Status_ == 200);
    CHECK(System.records("service", "call").size() == 1);
    CHECK(System.call("vm-3", completion("b", "x", 5)).Status_ == 200);
  };

  SECTION("in quiet times") { StopAndCheck(); }

  SECTION("while others send to it and to the rest") {
    std::atomic<int> Cut = 0;
    std::vector<std::unique_ptr<Background>> Load;
    for (const char *Vm : {"vm-1", "vm-2"})
      Load.push_back(std::make_unique<Background>([&System, &Cut, Vm] {
        Answer Given = System.call(Vm, completion("c", "x", 5, true));
        // No answer at all is a refused connection, which callers try
        // elsewhere.
        Cut += Given.Status_ != 0 && !Given.isWholeStream();
      }));
    StopAndCheck();
    Load.clear();
    CHECK(Cut == 0);
  }

  SECTION("while its peers can't be reached") {
    for (const char *Link :
         {"vm-1>vm-2", "vm-1>vm-3", "vm-2>vm-1", "vm-3>vm-1"})
      System.link(Link, "cut");
    StopAndCheck();
  }

  SECTION("while the platform is slow") {
    System.control("platform", {{"delay_ms", 200}});
    StopAndCheck();
  }
}

TEST_CASE("a request that crosses the idle close of a stopping VM is answered "
          "or runs nowhere",
          "[idle-close]") {
  constexpr Millis Notice{1500};
  constexpr std::size_t Count = 600;
  FleetPlan Plan;
  Plan.EngineOptions_ = {"--token-ms", "1"};
  Plan.Settings_ = {{"shutdown", {{"balancer_notice_ms", Notice.count()}}}};
  Fleet System(Plan);
  warmUp(System);
  for (const std::string Vm : {"vm-1", "vm-2"}) {
    KeptCallers Callers(System.at(Vm).port("caller"), "crossing-" + Vm, Count,
                        [](std::size_t Caller, const std::string &Id) {
                          bool IsStream = Caller % 2 == 1;
                          return completion("a@1", Id, 2, IsStream);
                        });
    REQUIRE(Callers.settle());
    System.at(Vm).signal(SIGTERM);
    Callers.sendAround(std::chrono::steady_clock::now() + Notice);
    Callers.finish();
    CHECK(System.at(Vm).exitStatus(SettleBound) == 0);
    std::size_t Answered = Callers.answered();
    if (Answered == 0 || Answered == Count)
      WARN(Vm << " answered " << Answered
              << "; none may have crossed the close");
    std::set<std::string> Ran;
    for (const json &Run : System.engineRecords("run"))
      Ran.insert(Run["prompt"]);
    auto Lost = Callers.lost(Ran);
    INFO(Vm << " answered " << Answered << " of " << Count << ", ran "
            << Lost.size() << " without an answer");
    CHECK(Lost == std::vector<std::string>{});
    CHECK(Callers.cut() == std::vector<std::string>{});
  }
}

TEST_CASE("a shutdown that cuts requests ends in good order",
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
                 SettleBound));
  System.at("vm-1").signal(SIGTERM);
  CHECK(System.at("vm-1").exitStatus(SettleBound) == 0);
  for (const auto &Stream : Cut)
    CHECK_FALSE(Stream->finish(SettleBound).isWholeStream());
}
