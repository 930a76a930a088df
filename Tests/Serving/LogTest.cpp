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

TEST_CASE("log lines under load", "[log]") {
  LogBudget Budget({10, 100, 0.4});
  int Routine = 0;
  for (int Index = 0; Index < 200; ++Index)
    Routine += Budget.take(false, Start);
  SECTION("are limited to the burst less the failures' share") {
    CHECK(Routine == 60);
  }
  SECTION("leave capacity for failures") {
    int Failures = 0;
    for (int Index = 0; Index < 200; ++Index)
      Failures += Budget.take(true, Start);
    CHECK(Failures == 40);
  }
  SECTION("are counted when dropped") {
    CHECK(Budget.takeDropped(Start) == 140);
    CHECK(Budget.takeDropped(Start + 2s) == 0);
  }
  SECTION("are admitted again at the sustained rate") {
    int Later = 0;
    for (int Index = 0; Index < 200; ++Index)
      Later += Budget.take(false, Start + 2s);
    CHECK(Later == 20);
  }
}

static std::string drain(int Descriptor) {
  std::string Text;
  char Buffer[65536];
  ssize_t Read = 0;
  while ((Read = read(Descriptor, Buffer, sizeof(Buffer))) > 0)
    Text.append(Buffer, static_cast<std::size_t>(Read));
  return Text;
}

TEST_CASE("logging to a full pipe does not block the program", "[log]") {
  int Pipe[2];
  REQUIRE(pipe(Pipe) == 0);
  fcntl(Pipe[0], F_SETFL, O_NONBLOCK);
  REQUIRE(startLogging("vm-1", "info", Pipe[1]));
  // Nothing reads from the pipe: blocking writes would hang once its 64 KiB
  // buffer is full.
  std::string Long(3000, 'x');
  for (int Index = 0; Index < 2000; ++Index)
    logEvent(LogLevel::Warning, "flood", {{"text", Long}});
  std::string First = drain(Pipe[0]);
  CHECK(First.find("\"event\":\"flood\"") != std::string::npos);
  SECTION("and the number of dropped lines is reported") {
    usleep(1100 * 1000);
    logEvent(LogLevel::Warning, "after");
    std::istringstream Lines(drain(Pipe[0]));
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
  close(Pipe[0]);
  close(Pipe[1]);
}
