#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

#include <sys/resource.h>

using namespace anvil;

/// The memory of the smallest machines that `anvild` has to run on, in MB.
static constexpr double MemoryMb = 160;

/// How many callers send without end at once.
static constexpr int FaultyCallers = 40;

/// How many other requests are sent meanwhile, one after the other.
static constexpr int OtherRequests = 10;

/// More than the time limit of the route.
static constexpr Millis AnswerTime(4000);

/// What a faulty caller sends.
struct EndlessRequest {
  std::string Place_;
  std::string Start_;
  std::string Repeated_;
  /// How many bytes of `Repeated_` each caller sends.
  std::size_t Bytes_;
};

static std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Whole;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Whole += Text;
  return Whole;
}

static std::vector<EndlessRequest> endlessRequests() {
  constexpr std::size_t Large = 8 * 1024 * 1024;
  constexpr std::size_t Incomplete = 3900 * 1000;
  std::string Head = "POST /safe/x HTTP/1.1\r\nHost: anvil\r\n";
  std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  std::string Length = Head + "Content-Length: 4000000\r\n\r\n";
  std::string Piece(64 * 1024, 'x');
  std::string Fields = repeat("a:b\r\n", 12000);
  return {
      {"chunk size", Chunked, std::string(64 * 1024, '0'), Large},
      {"chunk extension", Chunked + "5;x=", Piece, Large},
      {"trailer line", Chunked + "0\r\nX-T: ", Piece, Large},
      {"trailer lines", Chunked + "0\r\n", Fields, Large},
      {"head line", Head + "X-T: ", Piece, Large},
      {"head lines", Head, Fields, Large},
      {"body in chunks", Chunked, "10000\r\n" + Piece + "\r\n", Incomplete},
      {"body of known length", Length, Piece, Incomplete},
  };
}

// Guards against FAULT and LOST: callers without a key use up a VM's memory.
TEST_CASE("callers that send without end cost a VM neither its memory nor the "
          "requests of others",
          "[endless-caller]") {
  EntryFleetPlan Plan;
  Plan.VmLimits_ = MachineLimits;
  EntryFleet System(Plan);
  REQUIRE(System.call("vm-1", "/safe/x").Status_ == 200);
  for (const EndlessRequest &Sent : endlessRequests()) {
    INFO("endless " << Sent.Place_);
    std::vector<std::unique_ptr<CallerConnection>> Callers;
    for (int Index = 0; Index < FaultyCallers; ++Index) {
      Callers.push_back(
          std::make_unique<CallerConnection>(System.callerPort("vm-1")));
      Callers.back()->sendRaw(Sent.Start_);
    }
    int Unserved = 0;
    std::size_t Parts = Sent.Bytes_ / Sent.Repeated_.size();
    for (std::size_t Part = 0; Part < Parts; ++Part) {
      for (const auto &Caller : Callers)
        Caller->sendRaw(Sent.Repeated_);
      if (Part % (Parts / OtherRequests) == 0)
        Unserved += System.call("vm-1", "/safe/x").Status_ != 200 ? 1 : 0;
    }
    CHECK(Unserved == 0);
    REQUIRE_FALSE(System.at("vm-1").exitedUnexpectedly());
    CHECK(System.at("vm-1").peakMemoryMb() < MemoryMb);
  }
}

// Guards against RECOVER: the connections of idle callers leave no descriptors.
TEST_CASE("callers that keep idle connections leave a VM descriptors for "
          "others",
          "[endless-caller]") {
  EntryFleetPlan Plan;
  Plan.VmLimits_ = MachineLimits;
  EntryFleet System(Plan);
  rlimit Own{};
  REQUIRE(getrlimit(RLIMIT_NOFILE, &Own) == 0);
  std::size_t Connections = *MachineLimits.Descriptors_ + 100;
  if (Own.rlim_cur < Connections + 200) {
    WARN("not run: the test itself may open " << Own.rlim_cur
                                              << " descriptors only");
    return;
  }
  std::vector<std::unique_ptr<CallerConnection>> Callers;
  std::string Half(9000, 'x');
  for (std::size_t Index = 0; Index < Connections; ++Index) {
    Callers.push_back(
        std::make_unique<CallerConnection>(System.callerPort("vm-1")));
    if (Index % 2 == 0)
      Callers.back()->sendRaw("GET /safe/x HTTP/1.1\r\nX-T: " + Half);
  }
  for (int Index = 0; Index < OtherRequests; ++Index) {
    CallerRequest Sent = System.request("/safe/x", {});
    CHECK(callOnce(System.callerPort("vm-1"), Sent, AnswerTime).Status_ == 200);
    CallerRequest Ready;
    Ready.Method_ = "GET";
    Ready.Target_ = "/";
    CHECK(
        callOnce(System.at("vm-1").port("ready"), Ready, AnswerTime).Status_ ==
        200);
  }
  REQUIRE_FALSE(System.at("vm-1").exitedUnexpectedly());
  CHECK(System.at("vm-1").peakMemoryMb() < MemoryMb);
}
