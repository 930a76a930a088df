#include "Telemetry/Log.h"
#include "Telemetry/LogBudget.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <sstream>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};

TEST_CASE("the lines of a log under load", "[log]") {
  LogBudget Budget({10, 100, 0.4});
  int Calm = 0;
  for (int Index = 0; Index < 200; ++Index)
    Calm += Budget.take(false, Start);
  SECTION("are bounded") { CHECK(Calm == 60); }
  SECTION("keep room for failures") {
    int Failures = 0;
    for (int Index = 0; Index < 200; ++Index)
      Failures += Budget.take(true, Start);
    CHECK(Failures == 40);
  }
  SECTION("are told of when they were dropped") {
    CHECK(Budget.takeDropped(Start) == 140);
    CHECK(Budget.takeDropped(Start + 2s) == 0);
  }
  SECTION("come back at the rate") {
    int Later = 0;
    for (int Index = 0; Index < 200; ++Index)
      Later += Budget.take(false, Start + 2s);
    CHECK(Later == 20);
  }
}

static std::string drain(int Descriptor) {
  std::string Text;
  char Piece[65536];
  ssize_t Read = 0;
  while ((Read = read(Descriptor, Piece, sizeof(Piece))) > 0)
    Text.append(Piece, static_cast<std::size_t>(Read));
  return Text;
}

TEST_CASE("a flooded log never blocks the program", "[log]") {
  int Ends[2];
  REQUIRE(pipe(Ends) == 0);
  fcntl(Ends[0], F_SETFL, O_NONBLOCK);
  REQUIRE(startLogging("vm-1", "info", Ends[1]));
  // Nobody reads: without a bound this would stop at the pipe's 64 KiB.
  std::string Long(3000, 'x');
  for (int Index = 0; Index < 2000; ++Index)
    logEvent(LogLevel::Warning, "flood", {{"text", Long}});
  std::string First = drain(Ends[0]);
  CHECK(First.find("\"event\":\"flood\"") != std::string::npos);
  SECTION("and what was dropped is counted and said") {
    usleep(1100 * 1000);
    logEvent(LogLevel::Warning, "after");
    std::istringstream Lines(drain(Ends[0]));
    std::string Line;
    std::int64_t Dropped = 0;
    while (std::getline(Lines, Line)) {
      auto Parsed = nlohmann::json::parse(Line);
      if (Parsed["event"] == "log_lines_dropped")
        Dropped += Parsed["lines"].get<std::int64_t>();
    }
    CHECK(Dropped > 1000);
  }
  startLogging("", "error", 2);
  close(Ends[0]);
  close(Ends[1]);
}
