#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace anvil;
using nlohmann::json;

/// The limit for each step that a test waits for.
static constexpr Millis StepTimeout{15000};

/// Longer than a VM runs after SIGTERM.
static constexpr Millis HoldDuration{60000};

TEST_CASE("an entry VM replies to open requests when its stop limit expires",
          "[entry-stop-end]") {
  EntryFleetPlan Plan;
  Plan.StopSeconds_ = 2;
  Plan.Timeout_ = HoldDuration;
  Plan.LatencyTarget_ = HoldDuration;
  EntryFleet System(Plan);
  auto ControlAll = [&](const json &Change) {
    for (const std::string &Target : EntryTargets)
      System.control(Target, Change);
  };
  auto StartRequest = [&](CallerConnection &Caller, const std::string &Path,
                          const std::string &Id,
                          const std::string &Model = "base") {
    Caller.send(
        System.request(Path, {{"X-Request-Id", Id}, {"X-Model", Model}}));
  };
  auto StartHeldRequest = [&](CallerConnection &Caller, const std::string &Path,
                              const std::string &Id) {
    StartRequest(Caller, Path, Id);
    INFO(Id);
    REQUIRE(eventually([&] { return System.runCount(Id) == 1; }, StepTimeout));
  };
  auto CheckEnd = [&] {
    CHECK(System.at("vm-1").exitStatus(StepTimeout) == 0);
    std::string Log = System.at("vm-1").log();
    CHECK(Log.find("\"requests_cut\":0") != std::string::npos);
  };
  auto CheckReply = [&](CallerConnection &Caller, const std::string &Id,
                        int Status) {
    CallerReply Reply = Caller.finish(StepTimeout);
    INFO(Id);
    CHECK(Reply.Status_ == Status);
    CHECK(Reply.Complete_);
    CHECK(Reply.Headers_["x-request-id"] == Id);
    CHECK(Reply.Headers_.contains("retry-after") == (Status == 503));
  };
  // A newly started VM has to earn its retry budget by first attempts.
  for (int Index = 0; Index < 12; ++Index)
    for (const char *Path : {"/safe/x", "/stream/resumable/x"})
      REQUIRE(System.call("vm-1", Path, {{"X-Model", "base"}}).Status_ == 200);
  CallerConnection First(System.callerPort("vm-1"));
  CallerConnection Second(System.callerPort("vm-1"));
  CallerConnection Third(System.callerPort("vm-1"));

  SECTION("with 502 if a target may have run the request") {
    ControlAll({{"hold_ms", HoldDuration.count()}});
    StartHeldRequest(First, "/once/x", "once");
    StartHeldRequest(Second, "/safe/x", "safe");
    StartHeldRequest(Third, "/stream/x", "stream");
    System.at("vm-1").signal(SIGTERM);
    CheckReply(First, "once", 502);
    CheckReply(Second, "safe", 502);
    CheckReply(Third, "stream", 502);
    CheckEnd();
    // None was sent to another target.
    for (const char *Id : {"once", "safe", "stream"})
      CHECK(System.runCount(Id) == 1);
  }

  SECTION("with 502 if only a part of the reply has arrived") {
    ControlAll({{"hold_ms", HoldDuration.count()}, {"hold_body", true}});
    StartHeldRequest(First, "/once/x", "once");
    StartHeldRequest(Second, "/safe/x", "safe");
    System.at("vm-1").signal(SIGTERM);
    CheckReply(First, "once", 502);
    CheckReply(Second, "safe", 502);
    CheckEnd();
    CHECK(System.runCount("once") == 1);
    CHECK(System.runCount("safe") == 1);
  }

  SECTION("with 503 if the request still waits for its adapter") {
    ControlAll({{"busy", true}});
    StartRequest(First, "/stream/x", "waits", "base/never");
    REQUIRE(eventually(
        [&] {
          // Refused while ownership of engines moves as the second VM joins.
          if (First.finish(Millis(50)).Complete_)
            StartRequest(First, "/stream/x", "waits", "base/never");
          auto Orders = System.records("order");
          return std::ranges::any_of(Orders, [](const json &Order) {
            return Order["body"].value("Adapter", "") == "never";
          });
        },
        StepTimeout));
    System.at("vm-1").signal(SIGTERM);
    CheckReply(First, "waits", 503);
    CheckEnd();
    CHECK(System.explain("waits").find("time to stop") != std::string::npos);
    CHECK(System.runCount("waits") == 0);
  }

  SECTION("with 503 if the request is read only after the limit") {
    ControlAll({{"hold_ms", HoldDuration.count()}});
    StartHeldRequest(First, "/once/x", "before");
    First.sendRaw("POST /once/x HTTP/1.1\r\nHost: anvil\r\n"
                  "Authorization: Token good-key\r\n"
                  "X-Request-Id: behind\r\nContent-Length: 0\r\n\r\n");
    System.at("vm-1").signal(SIGTERM);
    CheckReply(First, "before", 502);
    CheckEnd();
    // The pipelined request got a reply and never reached a target.
    CHECK(System.explain("behind").find("with status 503") !=
          std::string::npos);
    CHECK(System.runCount("behind") == 0);
  }

  SECTION("but a stream under way is cut and does not look complete") {
    ControlAll({{"event_ms", HoldDuration.count()}});
    StartRequest(First, "/stream/x", "cut");
    StartRequest(Second, "/stream/resumable/x", "cut-too");
    REQUIRE(First.readUntil("word 1", StepTimeout));
    REQUIRE(Second.readUntil("word 1", StepTimeout));
    System.at("vm-1").signal(SIGTERM);
    for (CallerConnection *Caller : {&First, &Second}) {
      CHECK(Caller->closedWithin(StepTimeout));
      CHECK(Caller->partialReply().Status_ == 200);
      CHECK_FALSE(Caller->partialReply().Complete_);
    }
    CheckEnd();
    CHECK(System.runCount("cut") == 1);
    CHECK(System.runCount("cut-too") == 1);
  }
}
