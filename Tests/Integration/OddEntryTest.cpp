// Guards against LOST and refusals: an odd entry of another writer among the
// targets' entries ends the VMs that read it, keeps them from following the
// list, or is chosen as a target.

#include "Integration/EntryFleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace anvil;
using nlohmann::json;

TEST_CASE("an odd entry among the targets' does no harm", "[odd-entry]") {
  std::string Deep = std::string(20000, '[') + std::string(20000, ']');
  json Entry = {{"Service", "plain"},
                {"Address", "127.0.0.1:70000"},
                {"Zone", "north"},
                {"Slots", 1000},
                {"State", "ready"},
                {"born", 1700000000000},
                {"Seq", 0}};
  json Huge = Entry;
  Huge["Address"] = "127.0.0.1:1";
  Huge["Slots"] = std::uint64_t{1} << 62;
  json Engine = Entry;
  Engine["Service"] = "engines";
  Engine["Models"] = json::array(
      {{{"Name", "base"}, {"Version", 1}, {"Adapters", {"warm@1"}}}});
  std::string Nested = Entry.dump();
  Nested.insert(1, "\"Models\":" + Deep + ",");
  std::string TooLarge = Entry.dump();
  TooLarge.insert(1, "\"ColdRemainingMs\":1e999,");
  EntryFleet System;
  for (const std::string &Odd :
       {Entry.dump(), Huge.dump(), Engine.dump(), Nested, TooLarge, Deep,
        std::string("[1e999"), std::string("no JSON")}) {
    INFO(Odd.substr(0, 200));
    System.writeTargetBytes("odd-1", Odd);
    // Long enough for two reads of the list.
    std::this_thread::sleep_for(Millis(500));
    for (int Index = 0; Index < 10; ++Index)
      for (const char *Vm : {"vm-1", "vm-2"}) {
        CHECK(System.call(Vm, "/safe/x").Status_ == 200);
        CHECK(
            System.call(Vm, "/stream/x", {{"X-Model", "base/warm"}}).Status_ ==
            200);
      }
    CHECK_FALSE(System.at("vm-1").exitedUnexpectedly());
    CHECK_FALSE(System.at("vm-2").exitedUnexpectedly());
  }
  SECTION("and the VMs go on following the list") {
    System.writeTargetEntry("plain-1", "draining");
    auto IsLeft = [&] {
      for (int Index = 0; Index < 10; ++Index)
        if (System.call("vm-1", "/safe/x").Headers_["x-server-seal"] !=
            "seal-of-plain-2")
          return false;
      return true;
    };
    CHECK(eventually(IsLeft, Millis(5000)));
  }
}
