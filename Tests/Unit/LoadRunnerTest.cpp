#include "LoadTool/LoadRunner.h"
#include "Standins/ScriptedTarget.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace anvil;

static const std::string EventStream = "Content-Type: text/event-stream\r\n";

/// The causes of all failures in a short run against a server that always
/// replies with this and then closes the connection.
static std::vector<std::string> causes(const ScriptedReply &Reply,
                                       bool IsStream = true) {
  ScriptedTarget Server("server");
  Server.script({Reply});
  Scenario Run;
  Run.DurationSeconds_ = 0.2;
  Run.WarmupSeconds_ = 0;
  Run.Vms_ = {"127.0.0.1:" + std::to_string(Server.port())};
  TrafficSource &Source = Run.Sources_.emplace_back();
  Source.RequestsPerSecond_ = 50;
  Source.Stream_ = IsStream;
  LoadRunner Runner(Run);
  Runner.run();
  std::vector<std::string> Causes;
  for (const RequestRecord &Record : Runner.log().Records_)
    Causes.push_back(Record.Cause_);
  return Causes;
}

TEST_CASE("the load tool counts a stream as served only after its last event") {
  auto Whole = causes({EventStream, "data: {}\n\ndata: [DONE]\n\n"});
  REQUIRE_FALSE(Whole.empty());
  CHECK(std::ranges::all_of(Whole, &std::string::empty));
  auto Cut = causes({EventStream, "data: {}\n\n"});
  REQUIRE_FALSE(Cut.empty());
  CHECK(std::ranges::count(Cut, "broken_answer") ==
        static_cast<std::ptrdiff_t>(Cut.size()));
}

TEST_CASE("the load tool counts a reply as served only if its end is stated") {
  auto Whole = causes({"Content-Length: 2\r\n", "{}"}, false);
  REQUIRE_FALSE(Whole.empty());
  CHECK(std::ranges::all_of(Whole, &std::string::empty));
  auto Cut = causes({"", "{}"}, false);
  REQUIRE_FALSE(Cut.empty());
  CHECK(std::ranges::count(Cut, "broken_answer") ==
        static_cast<std::ptrdiff_t>(Cut.size()));
}
