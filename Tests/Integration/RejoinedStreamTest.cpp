#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace anvil;
using nlohmann::json;

static const std::string Path = "/stream/resumable/x";

/// Two engines with a software version each, and callers of streams with twenty
/// events that break off after the third.
class BrokenStreams {
public:
  BrokenStreams() {
    System_.writeSoftwareVersion("engine-1", "v1");
    System_.writeSoftwareVersion("engine-2", "v2");
  }

  EntryFleet &system() { return System_; }

  CallerReply
  call(const std::string &Vm, const std::string &Id,
       std::vector<std::pair<std::string, std::string>> Headers = {}) {
    Headers.emplace_back("X-Model", "base");
    Headers.emplace_back("X-Request-Id", Id);
    return System_.call(Vm, Path, std::move(Headers));
  }

  /// Sends requests until the VM serves and has earned the retries of a test.
  void settle(const std::string &Vm) {
    int Served = 0;
    REQUIRE(eventually(
        [&] {
          Served += call(Vm, "settle-" + Vm).Complete_ ? 1 : 0;
          return Served >= 25;
        },
        Millis(20000)));
  }

  /// Begins a stream whose connection to the caller breaks. Returns the seal of
  /// the engine that began it.
  std::string begin(const std::string &Vm, const std::string &Id) {
    CallerConnection Caller(System_.callerPort(Vm));
    Caller.send(
        System_.request(Path, {{"X-Model", "base"}, {"X-Request-Id", Id}}));
    REQUIRE(Caller.readUntil("word 3\n", Millis(5000)));
    return sealOf(Caller.partialReply());
  }

  /// The engines that ran a request.
  std::set<std::string> enginesOf(const std::string &Id) {
    std::set<std::string> Engines;
    for (const std::string Engine : {"engine-1", "engine-2"})
      for (const json &Item : sendJson(System_.at(Engine).port(), "GET",
                                       "/records", json::object())
                                  .json())
        if (Item["event"] == "run" && Item["headers"]["x-request-id"] == Id)
          Engines.insert(Engine);
    return Engines;
  }

  /// Takes up a stream after its third event.
  CallerReply takeUp(const std::string &Vm, const std::string &Id) {
    return call(Vm, Id + "-again", {{"Last-Event-Id", "3"}, {"Resumes", Id}});
  }

  static std::string sealOf(const CallerReply &Reply) {
    auto Seal = Reply.Headers_.find("x-server-seal");
    return Seal == Reply.Headers_.end() ? "" : Seal->second;
  }

private:
  EntryFleet System_;
};

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
