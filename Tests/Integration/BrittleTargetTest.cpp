#include "Standins/BrittleTarget.h"
#include "Integration/RequestLoad.h"

#include <catch2/catch.hpp>

using namespace anvil;

/// The falls that the users' rule allows the engines of a service.
static double allowedFalls(int Engines) { return 2 + Engines / 10.0; }

// Guards against LIMIT: engines that must reject too many requests fall over
// one after the other, since VMs send each what another one has rejected.
TEST_CASE("brittle targets aren't pushed over by more callers than fit",
          "[brittle-targets]") {
  EntryFleetPlan Plan;
  Plan.EngineSlots_ = 4;
  EntryFleet System(Plan);
  BrittleTarget First("plain-7", {});
  BrittleTarget Second("plain-8", {});
  System.replaceTargets("plain-7", First.port());
  System.registerTarget("plain-8", Second.port());
  REQUIRE(eventually(
      [&] {
        System.call("vm-1", "/safe/x");
        System.call("vm-2", "/safe/x");
        return First.servedCount() > 0 && Second.servedCount() > 0;
      },
      Millis(10000)));
  First.setBrittle(true);
  Second.setBrittle(true);
  int Before = First.servedCount() + Second.servedCount();
  // Three times what the slots run at a time.
  RequestLoad Load(System, "/safe/x", {}, 24);
  std::this_thread::sleep_for(Millis(9000));
  auto Replies = Load.finish();

  CHECK(First.fallCount() + Second.fallCount() <= allowedFalls(2));
  int Refused = 0;
  for (const auto &[Id, Reply] : Replies) {
    INFO(Id << " " << Reply.Status_);
    CHECK((Reply.Status_ == 200 || Reply.Status_ == 503));
    if (Reply.Status_ != 503)
      continue;
    ++Refused;
    CHECK(std::stod(CallerReply(Reply).Headers_["retry-after"]) >= 1);
  }
  CHECK(Refused > 0);
  CHECK(First.servedCount() + Second.servedCount() > Before + 100);
  for (const std::string &Vm : System.vms()) {
    INFO(Vm);
    CHECK(System.at(Vm).log().find("\"event\":\"service_brittle\"") !=
          std::string::npos);
  }

  // Once they no longer state it, no places are needed.
  First.setBrittle(false);
  Second.setBrittle(false);
  auto IsOver = [&](const std::string &Vm) {
    for (int Index = 0; Index < 4; ++Index)
      System.call(Vm, "/safe/x");
    return System.at(Vm).log().find("\"in_force\":false") != std::string::npos;
  };
  for (const std::string &Vm : System.vms())
    CHECK(eventually([&] { return IsOver(Vm); }, Millis(10000)));
}
