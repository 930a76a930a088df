#include "Integration/EntryFleet.h"
#include "Standins/EndlessTarget.h"

#include <catch2/catch.hpp>

#include <thread>
#include <vector>

using namespace anvil;

/// The memory of the smallest machines that `anvild` has to run on, in MB.
static constexpr double MemoryMb = 160;

/// How many requests are sent to the faulty target at once.
static constexpr int FaultyRequests = 8;

/// How many other requests are sent meanwhile, one after the other.
static constexpr int OtherRequests = 10;

static std::string repeat(const std::string &Text, std::size_t Bytes) {
  std::string Whole;
  while (Whole.size() < Bytes)
    Whole += Text;
  return Whole;
}

static EndlessReply chunked(const std::string &Start,
                            const std::string &Repeated) {
  return {"Transfer-Encoding: chunked\r\n", true, Start, Repeated};
}

static std::vector<std::pair<std::string, EndlessReply>> endlessReplies() {
  std::string Piece(64 * 1024, 'x');
  std::string Fields = repeat("a:b\r\n", 60000);
  EndlessReply Slow{"", false, "", repeat("a:b\r\n", 8000)};
  Slow.Pause_ = Millis(1);
  EndlessReply Foreign{"", true, "", Piece, true};
  return {
      {"head line", {"X-Long: ", false, "", Piece}},
      {"head lines", {"", false, "", Fields}},
      {"head lines that arrive in pieces", Slow},
      {"many head lines", {repeat("a:b\r\n", 60000), true, "", Piece}},
      {"chunk size", chunked("", repeat("0", 64 * 1024))},
      {"chunk extension", chunked("5;x=", Piece)},
      {"extensions of small chunks",
       chunked("", repeat("1;" + std::string(4000, 'x') + "\r\nA\r\n", 64000))},
      {"trailer line", chunked("0\r\nX-Long: ", Piece)},
      {"trailer lines", chunked("0\r\n", Fields)},
      {"body", {"", true, "", Piece}},
      {"one event",
       {"Content-Type: text/event-stream\r\n", true, "id: 1\ndata: ", Piece}},
      {"reply to another request", Foreign},
  };
}

// Guards against FAULT and LOST: a VM keeps all that one target sends and runs
// out of memory, and the requests of others end with it.
TEST_CASE("a target that sends without end costs a VM neither its memory nor "
          "the requests of others",
          "[endless-framing]") {
  EntryFleetPlan Plan;
  Plan.VmLimits_ = MachineLimits;
  EntryFleet System(Plan);
  auto [Id, FaultyPath, OtherPath] =
      GENERATE(table<std::string, std::string, std::string>(
          {{"plain-3", "/once/x", "/stream/x"},
           {"plain-3", "/safe/x", "/stream/x"},
           {"engine-3", "/stream/resumable/x", "/safe/x"}}));
  EndlessTarget Faulty(Id);
  System.replaceTargets(Id, Faulty.port());
  auto Call = [&](const std::string &Path, const std::string &RequestId) {
    return System.call("vm-1", Path,
                       {{"X-Model", "base"}, {"X-Request-Id", RequestId}});
  };
  Faulty.script({"Content-Length: 0\r\n", true, "", ""});
  REQUIRE(eventually(
      [&] {
        return Call(FaultyPath, "known").Headers_["x-server-seal"] ==
               "seal-of-" + Id;
      },
      Millis(5000)));

  for (const auto &[Place, Reply] : endlessReplies()) {
    INFO("endless " << Place << " at " << FaultyPath);
    Faulty.script(Reply);
    std::vector<CallerReply> Replies(FaultyRequests);
    std::vector<std::thread> Callers;
    for (int Index = 0; Index < FaultyRequests; ++Index)
      Callers.emplace_back([&, Index] {
        Replies[Index] = Call(FaultyPath, "faulty-" + std::to_string(Index));
      });
    int Served = 0;
    for (int Index = 0; Index < OtherRequests; ++Index) {
      Served += Call(OtherPath, "other-" + std::to_string(Index)).Complete_;
      std::this_thread::sleep_for(Millis(20));
    }
    for (std::thread &Caller : Callers)
      Caller.join();
    CHECK(Served == OtherRequests);
    for (const CallerReply &Each : Replies) {
      bool IsFinal = Each.Complete_ && Each.Status_ >= 500;
      // A stream whose head was forwarded can only be cut.
      bool IsCut = Each.Status_ == 200 && !Each.Complete_;
      CHECK((IsFinal || (FaultyPath.starts_with("/stream/") && IsCut)));
    }
    REQUIRE_FALSE(System.at("vm-1").exitedUnexpectedly());
    CHECK(System.at("vm-1").peakMemoryMb() < MemoryMb);
  }
  CHECK(Faulty.requestCount() > 0);
}

// Guards against FAULT: replies within their limits that together are more than
// a VM's memory.
TEST_CASE("bodies that are bounded one by one are bounded together",
          "[endless-sum]") {
  constexpr int Many = 96;
  EntryFleetPlan Plan;
  Plan.VmLimits_ = MachineLimits;
  Plan.EngineSlots_ = 2 * Many;
  EntryFleet System(Plan);
  EndlessTarget Faulty("plain-3");
  System.replaceTargets("plain-3", Faulty.port());
  auto Call = [&](const std::string &Path) {
    return System.call("vm-1", Path, {{"X-Model", "base"}});
  };
  Faulty.script({"Content-Length: 0\r\n", true, "", ""});
  REQUIRE(eventually(
      [&] {
        return Call("/safe/x").Headers_["x-server-seal"] == "seal-of-plain-3";
      },
      Millis(5000)));
  // The bodies arrive side by side: each stops short of the limit of one.
  std::string Body(3 * 1024 * 1024, 'x');
  Faulty.script({"", true, Body, "", false, true});
  std::vector<CallerReply> Replies(Many);
  std::vector<std::thread> Callers;
  for (int Index = 0; Index < Many; ++Index)
    Callers.emplace_back([&, Index] { Replies[Index] = Call("/safe/x"); });
  int Served = 0;
  for (int Index = 0; Index < OtherRequests; ++Index) {
    Served += Call("/stream/x").Complete_;
    std::this_thread::sleep_for(Millis(20));
  }
  for (std::thread &Caller : Callers)
    Caller.join();
  REQUIRE_FALSE(System.at("vm-1").exitedUnexpectedly());
  CHECK(Served == OtherRequests);
  CHECK(System.at("vm-1").peakMemoryMb() < MemoryMb);
  CHECK(Faulty.requestCount() > Many);
  for (const CallerReply &Each : Replies)
    CHECK((Each.Complete_ && (Each.Status_ == 200 || Each.Status_ >= 500)));
}
