#include "Integration/RequestLoad.h"
#include "Kernel/Clock.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace anvil;
using nlohmann::json;

/// From the operator's request until nothing more may reach the targets.
static constexpr Millis EvacuationBound{5000};

/// How long the load goes on after the bound.
static constexpr Millis WatchedTime{1500};

/// Longer than a VM's keys stay confirmed without evidence (3 s in the tests).
static constexpr Millis EvidenceLifetime{3500};

static std::int64_t nowUs() {
  return BootClock::now().time_since_epoch().count();
}

static std::string sealOf(const std::string &Target) {
  return "seal-of-" + Target;
}

static std::size_t arrivalsSince(EntryFleet &System, const std::string &Target,
                                 std::int64_t From) {
  auto Times = arrivalTimes(System, Target);
  return static_cast<std::size_t>(std::ranges::count_if(
      Times, [&](std::int64_t At) { return At >= From; }));
}

static std::size_t ordersSince(EntryFleet &System, const std::string &Engine,
                               std::int64_t From) {
  json Records =
      sendJson(System.at(Engine).port(), "GET", "/records", json::object())
          .json();
  return static_cast<std::size_t>(
      std::ranges::count_if(Records, [&](const json &Item) {
        return Item["event"] == "order" &&
               Item["at_us"].get<std::int64_t>() >= From;
      }));
}

/// Whether a VM serves requests, among them one on this target.
static bool reaches(EntryFleet &System, const std::string &Vm,
                    const std::string &Target) {
  return eventually(
      [&] {
        return System.call(Vm, "/safe/x").Headers_["x-server-seal"] ==
               sealOf(Target);
      },
      Millis(10000));
}

/// Guards against requests and orders to a data centre that the operator is
/// emptying: from a VM that can't read the store, from one that starts
/// meanwhile, and by callers whose adapter is held only there.
TEST_CASE("an evacuated data centre gets nothing until it is taken back",
          "[evacuation]") {
  EntryFleetPlan Plan;
  Plan.TwoDataCentres_ = true;
  Plan.Timeout_ = Millis(20000);
  EntryFleet System(Plan);
  REQUIRE(reaches(System, "vm-1", "plain-1"));
  REQUIRE(reaches(System, "vm-2", "plain-2"));

  // Each engine has an owner once it has got an order.
  int Adapter = 0;
  REQUIRE(eventually(
      [&] {
        std::string Model = "base/a" + std::to_string(Adapter++);
        System.call("vm-1", "/stream/x", {{"X-Model", Model}});
        return ordersSince(System, "engine-1", 0) > 0 &&
               ordersSince(System, "engine-2", 0) > 0;
      },
      Millis(20000)));

  for (const char *Engine : {"engine-1", "engine-2"})
    System.control(Engine, {{"event_ms", 400}});
  CallerConnection Stream(System.callerPort("vm-1"));
  Stream.send(System.request(
      "/stream/x", {{"X-Model", "base/warm"}, {"X-Request-Id", "long"}}));
  REQUIRE(Stream.readUntil("word 1\n", Millis(10000)));
  auto Head = Stream.partialReply().Headers_;
  bool IsOnFirst = Head["x-server-seal"] == sealOf("engine-1");
  std::string Emptied = IsOnFirst ? "engine-1" : "engine-2";
  std::string Other = IsOnFirst ? "engine-2" : "engine-1";
  std::string EmptiedPlain = IsOnFirst ? "plain-1" : "plain-2";
  System.control(Other, {{"event_ms", 1}});

  RequestLoad Load(System, "/safe/x", {}, 4);
  System.setStoreLink("vm-1", "cut");
  std::int64_t RequestedAt = nowUs();
  System.setEvacuated(System.dataCentreOf(Emptied), true);
  auto IsTold = [&] {
    return System.at("vm-1").log().find("\"source\":\"peer_") !=
           std::string::npos;
  };
  REQUIRE(eventually(IsTold, EvacuationBound));
  // An adapter that is held only there is loaded elsewhere. The VM's lease
  // lasts for some seconds after the cut.
  CallerReply Elsewhere =
      System.call("vm-1", "/stream/y",
                  {{"X-Model", "base/warm"}, {"X-Request-Id", "elsewhere"}});
  INFO(System.explain("elsewhere"));
  CHECK(Elsewhere.Status_ == 200);
  CHECK(Elsewhere.Headers_["x-server-seal"] == sealOf(Other));
  std::this_thread::sleep_for(EvacuationBound -
                              Millis((nowUs() - RequestedAt) / 1000));
  std::int64_t EmptyFrom = nowUs();
  std::this_thread::sleep_for(WatchedTime);
  auto Replies = Load.finish();
  CHECK(std::ranges::all_of(
      Replies, [](const auto &Entry) { return Entry.second.Status_ == 200; }));
  CHECK(arrivalsSince(System, EmptiedPlain, EmptyFrom) == 0);

  CallerReply Rest = Stream.finish(Millis(20000));
  CHECK(Rest.Complete_);
  CHECK(Rest.Body_.find("word 20") != std::string::npos);

  // It starts at another address, which the VM that is cut from the store
  // learns only from it.
  System.restart("vm-2");
  auto Serves = [&] { return System.call("vm-2", "/safe/x").Status_ == 200; };
  REQUIRE(eventually(Serves, Millis(10000)));
  for (int Index = 0; Index < 20; ++Index)
    CHECK(Serves());
  CHECK(arrivalsSince(System, EmptiedPlain, EmptyFrom) == 0);
  CHECK(arrivalsSince(System, Emptied, EmptyFrom) == 0);
  CHECK(ordersSince(System, Emptied, EmptyFrom) == 0);

  SECTION("and gets requests again from all VMs then") {
    // The VM that is cut needs the other one's new address for its evidence.
    std::this_thread::sleep_for(EvidenceLifetime);
    System.setEvacuated(System.dataCentreOf(Emptied), false);
    // Otherwise a VM prefers the targets of its own data centre.
    System.setEvacuated(System.dataCentreOf(Other), true);
    for (const char *Vm : {"vm-1", "vm-2"}) {
      bool IsReached = reaches(System, Vm, EmptiedPlain);
      CallerReply Last = System.call(Vm, "/safe/x");
      INFO(Vm << " answers " << Last.Status_ << " " << Last.Body_ << "\n"
              << System.at("vm-1").log() << System.at("vm-2").log());
      CHECK(IsReached);
    }
  }
  SECTION("and callers are refused at once where no other is left") {
    System.setEvacuated(System.dataCentreOf(Other), true);
    auto Refuses = [&](const char *Id) {
      CallerReply Reply =
          System.call("vm-1", "/once/x", {{"X-Request-Id", Id}});
      return Reply.Status_ == 503 && Reply.Headers_.contains("retry-after") &&
             Reply.Body_.find("evacuated") != std::string::npos;
    };
    REQUIRE(eventually([&] { return Refuses("r"); }, Millis(10000)));
    CHECK(Refuses("late"));
    CHECK(System.runCount("late") == 0);
  }
}
