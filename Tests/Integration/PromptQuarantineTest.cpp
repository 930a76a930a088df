#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;

/// Whether the request was refused since it crashes targets, without
/// Retry-After.
static bool isQuarantined(const CallerReply &Reply) {
  return Reply.Status_ == 503 &&
         Reply.Body_.find("crashes targets") != std::string::npos &&
         !Reply.Headers_.contains("retry-after");
}

/// Sends requests with a part that crashes engines, no two alike, and starts
/// the engines again.
class DeadlyRequests {
public:
  explicit DeadlyRequests(EntryFleet &System) : System_(System) { arm(); }

  CallerReply send(const std::string &Vm) {
    std::string Number = std::to_string(++Sent_);
    CallerReply Reply = System_.call(
        Vm, "/stream/" + Number,
        {{"X-Model", "base"},
         {"X-Prompt-Prefix", "5c1e07a2:800,dead:410,ab" + Number + ":250"}});
    // The caller may have the beginning of the reply before the process ends.
    if (Reply.Status_ == 200)
      REQUIRE(eventually([this] { return hasCrashed(); }, Millis(5000)));
    for (const char *Engine : {"engine-1", "engine-2"})
      if (System_.at(Engine).exitedUnexpectedly()) {
        ++Crashes_;
        System_.restartTarget(Engine, ++Incarnation_);
      }
    arm();
    return Reply;
  }

  /// Sends through both VMs in turn until one is refused. False if none is
  /// refused before `MaxCrashes` engines have crashed.
  bool sendUntilRefused(int MaxCrashes) {
    while (Crashes_ < MaxCrashes) {
      if (isQuarantined(send(Sent_ % 2 ? "vm-1" : "vm-2")))
        return true;
      std::this_thread::sleep_for(Millis(300));
    }
    return false;
  }

  int crashes() const { return Crashes_; }

private:
  bool hasCrashed() {
    return System_.at("engine-1").exitedUnexpectedly() ||
           System_.at("engine-2").exitedUnexpectedly();
  }

  void arm() {
    for (const char *Engine : {"engine-1", "engine-2"})
      System_.control(Engine, {{"deadly_part", "dead"}});
  }

  EntryFleet &System_;
  std::int64_t Incarnation_ = 1700000000000;
  int Sent_ = 0;
  int Crashes_ = 0;
};

TEST_CASE("prompts with a part that crashes engines stop reaching engines",
          "[prompt-quarantine]") {
  EntryFleet System;
  auto ServesSound = [&](const std::string &Vm) {
    CallerReply Reply = System.call(
        Vm, "/stream/sound",
        {{"X-Model", "base"}, {"X-Prompt-Prefix", "5c1e07a2:800,beef:250"}});
    return Reply.Status_ == 200 && Reply.Complete_;
  };
  REQUIRE(ServesSound("vm-1"));
  REQUIRE(ServesSound("vm-2"));
  DeadlyRequests Deadly(System);
  REQUIRE(Deadly.sendUntilRefused(10));
  int Before = Deadly.crashes();

  SECTION("through any VM, in requests that were never seen before") {
    for (int Index = 0; Index < 4; ++Index)
      for (const char *Vm : {"vm-1", "vm-2"})
        CHECK(isQuarantined(Deadly.send(Vm)));
    CHECK(Deadly.crashes() == Before);
  }
  SECTION("while sound prompts with the same first part are served") {
    for (const char *Vm : {"vm-1", "vm-2"})
      CHECK(eventually([&] { return ServesSound(Vm); }, Millis(5000)));
  }
  SECTION("also through a VM that starts later") {
    System.restart("vm-2");
    // It learns of the quarantine with the first state update of the other VM.
    auto HasLearned = [&] {
      std::string Log = System.at("vm-2").log();
      auto Started = Log.rfind("\"event\":\"started\"");
      return Log.find("\"change\":\"adopted\"", Started) != Log.npos;
    };
    REQUIRE(eventually(HasLearned, Millis(10000)));
    REQUIRE(eventually([&] { return ServesSound("vm-2"); }, Millis(10000)));
    CallerReply Reply = Deadly.send("vm-2");
    INFO(Reply.Status_ << ' ' << Reply.Body_ << '\n'
                       << System.at("vm-2").log());
    CHECK(isQuarantined(Reply));
    CHECK(Deadly.crashes() == Before);
  }
}

// Guards against BUDGET: a VM that was restarted doesn't know which requests
// the others refuse, and sends one of them to further engines, which crash.
TEST_CASE("a restarted VM refuses the requests that crash targets",
          "[quarantine-restart]") {
  EntryFleet System;
  std::int64_t Incarnation = 1700000000000;
  int Crashes = 0;
  // The only part of its prompt belongs to the request itself.
  auto Send = [&](const std::string &Vm) {
    for (const char *Engine : {"engine-1", "engine-2"})
      System.control(Engine, {{"deadly_part", "dead"}});
    CallerReply Reply =
        System.call(Vm, "/stream/deadly",
                    {{"X-Model", "base"}, {"X-Prompt-Prefix", "dead:100"}});
    std::this_thread::sleep_for(Millis(400));
    for (const char *Engine : {"engine-1", "engine-2"})
      if (System.at(Engine).exitedUnexpectedly()) {
        ++Crashes;
        System.restartTarget(Engine, ++Incarnation);
      }
    return Reply;
  };
  while (Crashes < 6 && !isQuarantined(Send("vm-1")))
    std::this_thread::sleep_for(Millis(500));
  REQUIRE(Crashes >= 2);
  REQUIRE(Crashes < 6);
  // Longer than a crash is repeated in state updates.
  std::this_thread::sleep_for(Millis(2500));
  System.restart("vm-2");
  REQUIRE(
      eventually([&] { return System.call("vm-2", "/safe/x").Status_ == 200; },
                 Millis(10000)));
  std::this_thread::sleep_for(Millis(500));
  int CrashesBefore = Crashes;
  CHECK(isQuarantined(Send("vm-2")));
  CHECK(Crashes == CrashesBefore);
}
