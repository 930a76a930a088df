#include "Integration/SingleVm.h"
#include "Standins/ScriptedTarget.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <thread>

using namespace anvil;
using nlohmann::json;

static constexpr Millis StepTimeout{20000};

/// How many lives of a VM begin beside each odd store.
static constexpr int Lives = 4;

/// A fault of the store: what the proxy before it does, and the reply if
/// something else answers at its address.
struct OddStore {
  std::string Name_;
  json Link_ = json::object();
  std::optional<ScriptedReply> Reply_ = std::nullopt;
};

static std::vector<OddStore> oddStores() {
  auto Replies = [](const std::string &Name, const std::string &Status,
                    const std::string &Body) {
    std::string Length =
        "Content-Length: " + std::to_string(Body.size()) + "\r\n";
    return OddStore{
        Name, {{"mode", "pass"}}, ScriptedReply{Length, Body, false, Status}};
  };
  OddStore Closing = Replies("closes at once", "200 OK", "{}");
  Closing.Reply_->SentBytes_ = 0;
  OddStore Resetting = Closing;
  Resetting.Name_ = "resets";
  Resetting.Reply_->IsReset_ = true;
  OddStore Partial = Replies("ends within the body", "200 OK", "{\"Rows\":[");
  Partial.Reply_->SentBytes_ = -4;
  return {{"closed", {{"mode", "reset"}}},
          {"silent", {{"mode", "freeze"}}},
          {"slow", {{"mode", "pass"}, {"delay_ms", 250}}},
          Closing,
          Resetting,
          Partial,
          Replies("500", "500 Odd", "{\"error\":1}"),
          Replies("429", "429 Busy", ""),
          Replies("garbage", "200 OK", "\x81\xfe\x00garbage"),
          Replies("null", "200 OK", "null"),
          Replies("odd rows", "200 OK",
                  R"({"Rows":[null,3,{"Key":7,"Value":[]}],"More":"x"})"),
          {"earlier era", {{"mode", "pass"}, {"delay_ms", 0}}}};
}

// Guards against FAULT: a VM ends by itself when it starts, stops and starts
// again on the same ports beside a store that fails.
TEST_CASE("a VM that starts and stops in series beside an odd store never ends "
          "by itself",
          "[restart-series]") {
  VmMode Mode = GENERATE(VmMode::Entry, VmMode::Standalone);
  INFO("mode " << (Mode == VmMode::Entry ? "entry" : "standalone"));
  std::mt19937 Random(51);
  auto PauseUpTo = [&Random](int LimitMs) {
    std::this_thread::sleep_for(Millis(Random() % (LimitMs + 1)));
  };
  SingleVm Place(Mode);
  if (Mode == VmMode::Entry)
    Place.change({{"bootstrap", true}});
  if (Mode == VmMode::Entry)
    Place.controlStore({{"era", 3}, {"copy", true}});
  ProcessStart Unawaited;
  Unawaited.AwaitReady_ = false;
  ScriptedTarget Odd("odd");
  std::string Sound = "127.0.0.1:" + std::to_string(Place.storePort());

  for (const OddStore &Store : oddStores()) {
    INFO("store: " << Store.Name_);
    if (Store.Name_ == "earlier era" && Mode == VmMode::Entry)
      Place.controlStore({{"era", 2}, {"restore", true}});
    json Link = Store.Link_;
    Link["target"] = Sound;
    if (Store.Reply_) {
      Odd.script(std::deque<ScriptedReply>{*Store.Reply_});
      Link["target"] = "127.0.0.1:" + std::to_string(Odd.port());
    }
    Place.setStore(Link);
    std::unique_ptr<Process> Predecessor;
    for (int Life = 0; Life < Lives; ++Life) {
      auto Vm = Place.start(Unawaited);
      REQUIRE(eventually([&] { return Vm->ownsSignals(); }, StepTimeout));
      for (int Count = 0; Count < 3; ++Count) {
        PauseUpTo(30);
        Vm->signal(SIGHUP);
      }
      if (Predecessor) {
        CHECK(Predecessor->exitStatus(StepTimeout) == 0);
        Predecessor.reset();
      }
      PauseUpTo(100);
      INFO(Vm->log());
      REQUIRE_FALSE(Vm->exitedUnexpectedly());
      if (Random() % 2 == 0) {
        Vm->kill();
        CHECK(Vm->exitStatus(StepTimeout) == -SIGKILL);
      } else {
        Vm->signal(SIGTERM);
        // The next life begins while this one stops.
        Predecessor = std::move(Vm);
      }
    }
    Predecessor.reset();

    auto Last = Place.start(Unawaited);
    Last->awaitReady();
    PauseUpTo(300);
    Place.setStore({{"target", Sound}, {"mode", "cut"}, {"delay_ms", 0}});
    if (Mode == VmMode::Entry)
      Place.controlStore({{"era", 3}});
    Place.setStore({{"mode", "pass"}});
    CHECK(eventually([&] { return Place.isReady(); }, StepTimeout));
    CHECK_FALSE(Last->exitedUnexpectedly());
    Last->signal(SIGTERM);
    CHECK(Last->exitStatus(StepTimeout) == 0);
  }
}
