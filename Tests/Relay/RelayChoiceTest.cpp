#include "Relay/RelayChoice.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace anvil;
using namespace std::chrono_literals;

static std::vector<RelayCandidate> fleet(int Near, int Far) {
  std::vector<RelayCandidate> Vms;
  for (int Index = 0; Index < Near + Far; ++Index)
    Vms.push_back({"vm-" + std::to_string(Index), Index < Near});
  return Vms;
}

TEST_CASE("which VMs are asked to relay") {
  RelayChoice Choice;
  TimePoint Now{100s};
  std::vector<double> Random{0.3, 0.1, 0.2, 0.9, 0.5, 0.4, 0.6, 0.7};

  SECTION("none, if there is no other") {
    CHECK(Choice.order({}, {}, Now).empty());
  }
  SECTION("those of the own data centre first, spread at random") {
    CHECK(Choice.order(fleet(3, 5), Random, Now) ==
          std::vector<std::string>{"vm-1", "vm-2", "vm-0", "vm-5"});
  }
  SECTION("a few at most") {
    CHECK(Choice.order(fleet(0, 300), {}, Now).size() == 4);
  }
  SECTION("not first the one that already relays many") {
    for (int Count = 0; Count < 4; ++Count)
      Choice.recordOpened("vm-1");
    CHECK(Choice.order(fleet(3, 0), Random, Now) ==
          std::vector<std::string>{"vm-2", "vm-0", "vm-1"});
    SECTION("until its connections have ended") {
      for (int Count = 0; Count < 4; ++Count)
        Choice.recordClosed("vm-1");
      CHECK(Choice.order(fleet(3, 0), Random, Now).front() == "vm-1");
    }
  }
  SECTION("those that are cut off themselves come last, also after far ones") {
    Choice.recordRefused("vm-0", RelayRefusal::Unreached, Now);
    Choice.recordRefused("vm-1", RelayRefusal::Full, Now);
    Choice.recordRefused("vm-2", RelayRefusal::Silent, Now);
    CHECK(Choice.order(fleet(3, 1), Random, Now).front() == "vm-3");
    SECTION("for a while") {
      CHECK(Choice.order(fleet(3, 1), Random, Now + 1500ms).front() == "vm-1");
      CHECK(Choice.order(fleet(3, 1), Random, Now + 2500ms) ==
            std::vector<std::string>{"vm-1", "vm-2", "vm-0", "vm-3"});
    }
  }
  SECTION("where most VMs are cut, a few rounds find the others") {
    // Only vm-7 of 8 reaches targets.
    std::size_t Rounds = 0;
    bool IsFound = false;
    while (!IsFound && ++Rounds < 10)
      for (const std::string &Vm : Choice.order(fleet(3, 5), Random, Now)) {
        IsFound = Vm == "vm-7";
        if (IsFound)
          break;
        Choice.recordRefused(Vm, RelayRefusal::Unreached, Now);
      }
    CHECK(Rounds <= 2);
  }
}
