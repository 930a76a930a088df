// Guards against REFUSED and TWICE: a faulty engine writes a refusal once more
// where the next answer on its connection is due, and the copy counts as the
// answer to a later send, which the engine runs.

#include "Integration/EntryFleet.h"
#include "Standins/RepeatingTarget.h"

#include <catch2/catch.hpp>

using namespace anvil;

TEST_CASE("a refusal written once more answers no later send",
          "[repeated-reply]") {
  EntryFleet System;
  RepeatingTarget Engine("engine-3");
  System.replaceTargets("engine-3", Engine.port());
  int Requests = 0;
  auto Call = [&](const std::string &Id) {
    return System.call("vm-1", "/stream/x",
                       {{"X-Model", "base"}, {"X-Request-Id", Id}});
  };
  auto CallNext = [&] { return Call("other-" + std::to_string(++Requests)); };
  REQUIRE(eventually(
      [&] {
        return CallNext().Headers_["x-server-seal"] == "seal-of-engine-3";
      },
      Millis(5000)));
  // Enough first attempts to earn the retries.
  for (int Index = 0; Index < 40; ++Index)
    CallNext();
  bool HasId = GENERATE(true, false);
  INFO("refusals name their request: " << HasId);

  SECTION("of the same request, which comes again at the same engine") {
    for (int Index = 0; Index < 4; ++Index) {
      std::string Id = "refused-" + std::to_string(Index);
      Engine.refuse(1, HasId);
      CHECK(Call(Id).Status_ == 200);
      CHECK(Engine.runCount(Id) == 1);
      CHECK(CallNext().Status_ == 200);
    }
  }
  SECTION("of a request after it") {
    Engine.refuse(100, HasId);
    CHECK(Call("refused").Status_ == 503);
    Engine.refuse(0, HasId);
    for (int Index = 0; Index < 4; ++Index) {
      std::string Id = "after-" + std::to_string(Index);
      CHECK(Call(Id).Status_ == 200);
      CHECK(Engine.runCount(Id) == 1);
    }
    CHECK(Engine.runCount("refused") == 0);
  }
}
