#include "Integration/EntryFleet.h"
#include "Standins/EndlessTarget.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;

/// As many streams as a target of the users' deployments runs at once.
static constexpr int Streams = 32;

// Guards against CONFIG: one target sends events without an end in small
// chunks, and the VM's only thread does nothing else.
TEST_CASE("endless events in small chunks don't stop a VM", "[endless-event]") {
  EntryFleetPlan Plan;
  Plan.Timeout_ = Millis(12000);
  Plan.EngineSlots_ = Streams;
  EntryFleet System(Plan);
  EndlessTarget Target("engine-9");
  EndlessReply Endless;
  Endless.HeadLines_ =
      "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";
  Endless.Start_ = "4\r\nid: \r\n";
  for (int Part = 0; Part < 4096; ++Part)
    Endless.Repeated_ += "8\r\nclosure \r\n";
  Target.script(Endless);
  System.replaceTargets("engine-9", Target.port());
  // VMs read the list each 200 ms.
  std::this_thread::sleep_for(Millis(800));
  std::vector<std::unique_ptr<CallerConnection>> Callers;
  for (int Index = 0; Index < Streams; ++Index) {
    Callers.push_back(
        std::make_unique<CallerConnection>(System.callerPort("vm-1")));
    Callers.back()->send(
        System.request("/stream/resumable/x", {{"X-Model", "base"}}));
  }
  REQUIRE(eventually([&] { return Target.requestCount() > 0; }, Millis(5000)));
  int Served = 0;
  for (int Index = 0; Index < 20; ++Index) {
    CallerReply Reply =
        System.call("vm-1", "/safe/x", {{"X-Request-Deadline", "1500"}});
    Served += Reply.Status_ == 200 ? 1 : 0;
    std::this_thread::sleep_for(Millis(100));
  }
  CHECK(Served == 20);
  // Before any of the streams had reached the limits of an event.
  int Open = 0;
  for (auto &Caller : Callers)
    Open += Caller->closedWithin(Millis(1)) ? 0 : 1;
  CHECK(Open == Streams);
}
