#include "Integration/RequestLoad.h"
#include "Kernel/Clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <sstream>

using namespace anvil;
using nlohmann::json;

/// How long VMs may take to enforce a limit after a target first sent it.
static constexpr Millis LimitTakesEffectTime{3000};

/// The window in which a target with a limit may receive at most
/// `maxAllowedArrivals` requests: four seconds.
static constexpr Millis LimitWindow{4000};

static std::size_t maxAllowedArrivals(double RatePerSecond) {
  return static_cast<std::size_t>(std::floor(1.5 * RatePerSecond * 4 + 5));
}

static std::int64_t bootMicros(Millis Ahead = Millis{0}) {
  return (BootClock::now().time_since_epoch() + Ahead).count();
}

static void setLimitHeader(EntryFleet &System, const std::string &Target,
                           const std::string &Limit) {
  json Header = json::array({"Server-Limit", Limit});
  System.control(Target, {{"headers", json::array({Header})}});
}

TEST_CASE("all VMs together keep to the request limit that a target "
          "sends",
          "[target-limit]") {
  EntryFleet System;
  constexpr double PlainRate = 2;
  constexpr double EngineRate = 1;
  RequestLoad Plain(System, "/safe/x", {}, 4);
  RequestLoad Streams(System, "/stream/x", {{"X-Model", "base"}}, 4);
  std::this_thread::sleep_for(Millis(500));
  std::int64_t InForceFrom = bootMicros(LimitTakesEffectTime);
  setLimitHeader(System, "plain-1", "2");
  setLimitHeader(System, "engine-1", "1.0");
  std::this_thread::sleep_for(LimitTakesEffectTime + LimitWindow +
                              Millis(1000));
  auto PlainReplies = Plain.finish();
  auto StreamReplies = Streams.finish();

  REQUIRE(maxArrivalsWithin(arrivalTimes(System, "plain-1"), Millis(400), 0) >
          5);
  REQUIRE(maxArrivalsWithin(arrivalTimes(System, "engine-1"), Millis(400), 0) >
          2);
  CHECK(maxArrivalsWithin(arrivalTimes(System, "plain-1"), LimitWindow,
                          InForceFrom) <= maxAllowedArrivals(PlainRate));
  CHECK(maxArrivalsWithin(arrivalTimes(System, "engine-1"), LimitWindow,
                          InForceFrom) <= maxAllowedArrivals(EngineRate));
  std::size_t Unserved = 0;
  for (const auto &Replies : {PlainReplies, StreamReplies})
    for (const auto &[Id, Reply] : Replies)
      Unserved += Reply.Status_ == 200 ? 0 : 1;
  CHECK(PlainReplies.size() > 100);
  CHECK(StreamReplies.size() > 50);
  CHECK(Unserved == 0);
}

TEST_CASE("limits hold while VMs are frozen, killed and stopped",
          "[target-limit]") {
  EntryFleet System;
  constexpr double Rate = 2;
  for (const char *Target : {"plain-1", "plain-2"})
    setLimitHeader(System, Target, "2");
  std::int64_t InForceFrom = bootMicros(LimitTakesEffectTime);
  RequestLoad Load(System, "/safe/x", {}, 6);
  std::this_thread::sleep_for(LimitTakesEffectTime);
  for (const char *Vm : {"vm-1", "vm-2"}) {
    System.at(Vm).signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(2500));
    System.at(Vm).signal(SIGCONT);
    std::this_thread::sleep_for(Millis(1500));
  }
  System.restart("vm-1");
  std::this_thread::sleep_for(Millis(2000));
  System.at("vm-2").signal(SIGTERM);
  std::this_thread::sleep_for(Millis(2500));
  auto Replies = Load.finish();

  std::size_t Arrived = 0;
  for (const char *Target : {"plain-1", "plain-2"}) {
    INFO(Target);
    auto Times = arrivalTimes(System, Target);
    Arrived += Times.size();
    CHECK(maxArrivalsWithin(Times, LimitWindow, InForceFrom) <=
          maxAllowedArrivals(Rate));
  }
  std::size_t Refused = 0;
  for (const auto &[Id, Reply] : Replies) {
    if (Reply.Status_ != 503)
      continue;
    ++Refused;
    INFO(Id);
    CHECK(Reply.Headers_.contains("retry-after"));
  }
  CHECK(Refused > 0);
  CHECK(Arrived > 10);
  auto Runs = System.records("run");
  CHECK(std::ranges::none_of(Runs, [&](const json &Run) {
    auto Found = Replies.find(Run["headers"].value("x-request-id", ""));
    return Found != Replies.end() && Found->second.Status_ == 503;
  }));
}

TEST_CASE("a target that withdraws its limit gets its requests again",
          "[target-limit]") {
  EntryFleet System;
  auto Limit = GENERATE(as<std::string>{}, "1", "0");
  INFO(Limit);
  setLimitHeader(System, "plain-1", Limit);
  RequestLoad Load(System, "/safe/x", {}, 4);
  std::this_thread::sleep_for(Millis(2000));
  std::size_t Before = arrivalTimes(System, "plain-1").size();
  System.control("plain-1", {{"headers", json::array()}});
  CHECK(eventually(
      [&] { return arrivalTimes(System, "plain-1").size() > Before + 40; },
      Millis(12000)));
}

/// Whether a VM has logged a limit of this target.
static bool hasLoggedLimit(EntryFleet &System, const std::string &Vm,
                           const std::string &Target) {
  std::istringstream Log(System.at(Vm).log());
  std::string Line;
  while (std::getline(Log, Line))
    if (Line.find("\"target_limit\"") != std::string::npos &&
        Line.find('"' + Target + '"') != std::string::npos)
      return true;
  return false;
}

TEST_CASE("a refusal without a limit header does not end the limit in force",
          "[target-limit]") {
  EntryFleet System;
  constexpr double Rate = 2;
  for (const char *Target : {"plain-1", "plain-2"})
    setLimitHeader(System, Target, "2");
  RequestLoad Load(System, "/safe/x", {}, 6);
  for (const char *Vm : {"vm-1", "vm-2"})
    for (const char *Target : {"plain-1", "plain-2"})
      REQUIRE(eventually([&] { return hasLoggedLimit(System, Vm, Target); },
                         Millis(5000)));
  std::int64_t InForceFrom = bootMicros(LimitTakesEffectTime);
  for (const char *Target : {"plain-1", "plain-2"})
    System.control(Target, {{"refuse", 100000}, {"bare_refusals", true}});
  std::this_thread::sleep_for(LimitTakesEffectTime + LimitWindow + Millis(500));
  Load.finish();
  for (const char *Target : {"plain-1", "plain-2"}) {
    INFO(Target);
    CHECK(maxArrivalsWithin(arrivalTimes(System, Target), LimitWindow,
                            InForceFrom) <= maxAllowedArrivals(Rate));
  }
}
