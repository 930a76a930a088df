#include "Integration/Soak.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <filesystem>
#include <iostream>

using namespace anvil;

static std::string fromEnvironment(const char *Name, const char *Default) {
  const char *Text = std::getenv(Name);
  return Text ? Text : Default;
}

static int numberFromEnvironment(const char *Name, const char *Default) {
  return std::stoi(fromEnvironment(Name, Default));
}

/// The seeds of `ANVIL_SOAK_SEEDS`, such as `7` or `1-50`.
static std::pair<int, int> seeds() {
  std::string Text = fromEnvironment("ANVIL_SOAK_SEEDS", "1-2");
  std::size_t Dash = Text.find('-');
  int First = std::stoi(Text);
  return {First, Dash == Text.npos ? First : std::stoi(Text.substr(Dash + 1))};
}

// Guards against FAULT, LOST, TWICE and ORDER where signals, restarts, changes
// and faulty targets overlap.
TEST_CASE("callers lose nothing while signals, restarts and changes overlap",
          "[soak]") {
  auto [First, Last] = seeds();
  for (int Seed = First; Seed <= Last; ++Seed) {
    SoakOptions Options;
    Options.Seed_ = static_cast<std::uint64_t>(Seed);
    Options.Length_ =
        Millis(1000 * numberFromEnvironment("ANVIL_SOAK_SECONDS", "15"));
    Options.Vms_ = numberFromEnvironment("ANVIL_SOAK_VMS", "3");
    Options.CallersPerVm_ = numberFromEnvironment("ANVIL_SOAK_CALLERS", "6");
    Options.HasEndlessCallers_ =
        numberFromEnvironment("ANVIL_SOAK_ENDLESS_CALLERS", "0") != 0;
    Options.HasEarlyStarts_ =
        numberFromEnvironment("ANVIL_SOAK_EARLY_STARTS", "0") != 0;
    Options.KeptFolder_ = fromEnvironment(
        "ANVIL_SOAK_LOGS", std::filesystem::temp_directory_path().c_str());
    Soak Run(Options);
    std::string Report;
    for (const std::string &Violation : Run.run())
      Report += Violation + "\n";
    std::cout << Run.summary() << std::endl;
    INFO(Run.summary() << "\n" << Report);
    CHECK(Report.empty());
  }
}
