#include "Integration/BrokenStreams.h"

#include <catch2/catch.hpp>

using namespace anvil;

// Guards against ORDER: one stream holds events of two software versions.
TEST_CASE("a stream goes on only at the software version that began it",
          "[rejoined-stream]") {
  BrokenStreams Streams;
  Streams.settle("vm-1");
  Streams.settle("vm-2");

  SECTION("inside one answer") {
    for (int Index = 0; Index < 5; ++Index) {
      std::string Id = "one-" + std::to_string(Index);
      for (const char *Engine : {"engine-1", "engine-2"})
        Streams.system().control(Engine, {{"cut_after", 3}});
      CallerReply Reply = Streams.call("vm-1", Id);
      INFO(Index);
      CHECK(Reply.Status_ == 200);
      CHECK(Streams.enginesOf(Id).size() == 1);
    }
  }
  SECTION("inside one answer, where another engine of that version serves") {
    Streams.system().writeSoftwareVersion("engine-2", "v1");
    Streams.settle("vm-1");
    for (int Index = 0; Index < 6; ++Index) {
      Streams.system().control("engine-1", {{"cut_after", 3}});
      CallerReply Reply = Streams.call("vm-1", "two-" + std::to_string(Index));
      INFO(Index);
      CHECK(Reply.Complete_);
      CHECK(Reply.Body_ == standinEvents(1, 20));
    }
  }
  SECTION("when its caller takes it up at the same VM or another one") {
    for (int Index = 0; Index < 6; ++Index) {
      std::string Id = "three-" + std::to_string(Index);
      std::string Engine = Streams.begin("vm-1", Id);
      CallerReply Rest = Streams.takeUp(Index % 2 ? "vm-1" : "vm-2", Id);
      INFO(Index << " began at " << Engine);
      CHECK(Rest.Status_ == 200);
      CHECK(BrokenStreams::sealOf(Rest) == Engine);
      CHECK(Rest.Body_ == standinEvents(4, 20));
    }
  }
  SECTION("after all VMs have lost power at once") {
    std::map<std::string, std::string> Began;
    for (int Index = 0; Index < 12; ++Index) {
      std::string Id = "four-" + std::to_string(Index);
      Began[Id] = Streams.begin(Index % 2 ? "vm-1" : "vm-2", Id);
    }
    Streams.system().restartTogether({"vm-1", "vm-2"});
    Streams.settle("vm-1");
    for (const auto &[Id, Engine] : Began) {
      CallerReply Rest = Streams.takeUp("vm-1", Id);
      INFO(Id << " began at " << Engine);
      CHECK(Rest.Status_ == 200);
      CHECK(BrokenStreams::sealOf(Rest) == Engine);
    }
  }
  SECTION("and nowhere once that version has left") {
    std::string Engine = Streams.begin("vm-1", "five");
    std::string Other = Engine == "seal-of-engine-1" ? "engine-2" : "engine-1";
    Streams.system().writeTargetEntry(
        Other == "engine-1" ? "engine-2" : "engine-1", "draining");
    REQUIRE(eventually(
        [&] {
          int Served = 0;
          for (int Index = 0; Index < 5; ++Index)
            Served += BrokenStreams::sealOf(Streams.call("vm-2", "probe")) ==
                      "seal-of-" + Other;
          return Served == 5;
        },
        Millis(10000)));
    CallerReply Rest = Streams.takeUp("vm-2", "five");
    CHECK(Rest.Status_ == 503);
    CHECK(Streams.system().runCount("five-again") == 0);
  }
  SECTION("and not at a VM that can't ask the store, until it can") {
    std::string Engine = Streams.begin("vm-1", "seven");
    Streams.system().setStoreLink("vm-2", "cut");
    CallerReply Refused = Streams.takeUp("vm-2", "seven");
    CHECK(Refused.Status_ == 503);
    CHECK(Refused.Headers_.contains("retry-after"));
    CHECK(Streams.system().runCount("seven-again") == 0);
    SECTION("while the VM that began it goes on") {
      CHECK(BrokenStreams::sealOf(Streams.takeUp("vm-1", "seven")) == Engine);
    }
    Streams.system().setStoreLink("vm-2", "pass");
    Streams.settle("vm-2");
    Engine = Streams.begin("vm-1", "eight");
    CHECK(BrokenStreams::sealOf(Streams.takeUp("vm-2", "eight")) == Engine);
  }
  SECTION("and nowhere if nobody knows which one that was") {
    CallerReply Rest = Streams.call("vm-1", "six", {{"Last-Event-Id", "3"}});
    CHECK(Rest.Status_ == 503);
    CHECK(Streams.system().runCount("six") == 0);
  }
}
