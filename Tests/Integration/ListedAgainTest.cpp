// Guards against CONFIG: a target that was cut off from the store, so that its
// entry vanished for a while, counts as leaving for the rest of its lifetime.

#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;

TEST_CASE("a target that is listed again is used again", "[listed-again]") {
  EntryFleet System;
  auto SealAt = [&](const std::string &Vm) {
    return System.call(Vm, "/safe/x").Headers_["x-server-seal"];
  };
  auto UseOnly = [&](const std::string &Target) {
    return eventually(
        [&] {
          return SealAt("vm-1") == "seal-of-" + Target &&
                 SealAt("vm-2") == "seal-of-" + Target;
        },
        Millis(4000));
  };
  System.removeTargetEntry("plain-1");
  CHECK(UseOnly("plain-2"));
  // Long enough for the VMs to tell each other.
  std::this_thread::sleep_for(Millis(1500));
  System.writeTargetEntry("plain-1", "ready");
  std::this_thread::sleep_for(Millis(500));
  SECTION("as the only one if the others leave") {
    System.writeTargetEntry("plain-2", "draining");
    CHECK(UseOnly("plain-1"));
  }
  SECTION("unless it reported that it leaves") {
    System.writeTargetEntry("plain-1", "draining");
    CHECK(UseOnly("plain-2"));
    System.writeTargetEntry("plain-1", "ready");
    std::this_thread::sleep_for(Millis(1000));
    for (int Index = 0; Index < 10; ++Index)
      for (const char *Vm : {"vm-1", "vm-2"})
        CHECK(SealAt(Vm) == "seal-of-plain-2");
  }
}
