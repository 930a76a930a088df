#include "Integration/EntryFleet.h"
#include "Integration/KeepAliveCallers.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;
using nlohmann::json;

/// The time from SIGTERM until a stopping VM closes its idle connections.
static constexpr Millis IdleCloseDelay{3000};

/// The number of callers that send requests around that time.
static constexpr std::size_t CrossingCallers = 600;

static KeepAliveCallers callersOf(EntryFleet &System, const std::string &Vm,
                                  const std::string &Name, std::size_t Count) {
  return {System.callerPort(Vm), Name + "-" + Vm, Count,
          [&System](std::size_t Caller, std::string Id) {
            bool IsStream = Caller % 2 == 1;
            std::vector<std::pair<std::string, std::string>> Headers{
                {"X-Request-Id", std::move(Id)}};
            if (IsStream)
              Headers.emplace_back("X-Model", "base");
            return System.request(IsStream ? "/stream/x" : "/safe/x",
                                  std::move(Headers));
          }};
}

static std::set<std::string> executedIds(EntryFleet &System) {
  std::set<std::string> Ids;
  for (const json &Run : System.records("run"))
    Ids.insert(Run["headers"].value("x-request-id", ""));
  return Ids;
}

TEST_CASE("a request that crosses the idle close of a stopping entry VM is "
          "either replied to or not run",
          "[entry-stop]") {
  EntryFleet System;
  for (const std::string Vm : {"vm-1", "vm-2"}) {
    INFO(Vm);
    auto Logged = [&](const std::string &Event) {
      return System.at(Vm).log().find('"' + Event + '"') != std::string::npos;
    };
    KeepAliveCallers Early = callersOf(System, Vm, "early", 20);
    KeepAliveCallers Crossing =
        callersOf(System, Vm, "crossing", CrossingCallers);
    REQUIRE(Early.primeConnections());
    REQUIRE(Crossing.primeConnections());
    System.at(Vm).signal(SIGTERM);
    auto CloseAt = std::chrono::steady_clock::now() + IdleCloseDelay;
    REQUIRE(eventually([&] { return Logged("stopping"); }, Millis(10000)));

    std::this_thread::sleep_until(CloseAt - Millis(2000));
    Early.send();
    bool IsLate = Logged("idle_connections_closed");
    if (IsLate)
      WARN("requests were sent after the idle close; replies are not checked");
    for (CallerReply Reply : Early.finish()) {
      CHECK((IsLate || Reply.Status_ == 200));
      CHECK((IsLate || Reply.Complete_));
      CHECK((IsLate || Reply.Headers_["connection"] == "close"));
    }

    Crossing.sendAround(CloseAt);
    Crossing.finish();
    CHECK(System.at(Vm).exitStatus(Millis(20000)) == 0);
    std::size_t CompleteCount = Crossing.completeCount();
    if (CompleteCount == 0 || CompleteCount == CrossingCallers)
      WARN(Vm << " answered " << CompleteCount
              << "; possibly no request crossed the idle close");
    auto Executed = executedIds(System);
    CHECK(Early.executedWithoutReply(Executed) == std::vector<std::string>{});
    auto Lost = Crossing.executedWithoutReply(Executed);
    INFO("answered " << CompleteCount << " of " << CrossingCallers << ", ran "
                     << Lost.size() << " without a reply");
    INFO((Lost.empty() ? "" : System.explain(Lost.front())));
    CHECK(Lost == std::vector<std::string>{});
    CHECK(Crossing.truncatedReplies() == std::vector<std::string>{});
  }
}

TEST_CASE("a request that is complete only after the idle close",
          "[entry-stop]") {
  EntryFleetPlan Plan;
  Plan.Timeout_ = Millis(20000);
  EntryFleet System(Plan);
  auto RequestHead = [](const std::string &Id, const std::string &TimeLeft) {
    return "GET /safe/x HTTP/1.1\r\nHost: anvil\r\nX-Request-Id: " + Id +
           "\r\nAuthorization: Token good-key\r\nX-Request-Deadline: " +
           TimeLeft + "\r\n\r\n";
  };
  std::string LongHead = RequestHead("long", "20000");
  std::string ShortHead = RequestHead("short", "1500");
  CallerConnection Long(System.callerPort("vm-1"));
  CallerConnection Short(System.callerPort("vm-1"));
  Long.sendRaw(LongHead.substr(0, 10));
  Short.sendRaw(ShortHead.substr(0, 10));
  System.at("vm-1").signal(SIGTERM);
  REQUIRE(eventually(
      [&] {
        return System.at("vm-1").log().find("idle_connections_closed") !=
               std::string::npos;
      },
      Millis(20000)));
  Long.sendRaw(LongHead.substr(10));
  Short.sendRaw(ShortHead.substr(10));

  CallerReply Refused = Long.finish(Millis(10000));
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.Headers_["connection"] == "close");
  CHECK(Refused.Headers_.contains("retry-after"));
  CallerReply Served = Short.finish(Millis(10000));
  CHECK(Served.Status_ == 200);
  CHECK(Served.Headers_["connection"] == "close");
  CHECK(System.at("vm-1").exitStatus(Millis(20000)) == 0);
  auto Executed = executedIds(System);
  CHECK_FALSE(Executed.contains("long"));
  CHECK(Executed.contains("short"));
}
