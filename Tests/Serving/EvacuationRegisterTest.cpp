#include "Evacuation/EvacuationRegister.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

using Names = std::vector<std::string>;

/// Guards against requests to targets that the operator is emptying, and
/// against a data centre that stays empty after the operator took it back.
TEST_CASE("evacuated data centres", "[EVAC][evacuation]") {
  EvacuationRegister Register;
  CHECK(Register.evacuated().empty());
  CHECK_FALSE(Register.isEvacuated("north"));

  SECTION("are those that the operator requests") {
    CHECK(Register.set("north", true, Start));
    CHECK(Register.isEvacuated("north"));
    CHECK_FALSE(Register.isEvacuated("south"));
    CHECK(Register.evacuatedSince("north") == Start);

    SECTION("once, although the request is read again") {
      CHECK_FALSE(Register.set("north", true, Start + 1s));
      CHECK(Register.evacuatedSince("north") == Start);
    }
    SECTION("several at a time") {
      CHECK(Register.set("east", true, Start + 1s));
      CHECK(Register.evacuated() == Names{"east", "north"});
    }
    SECTION("until the request is removed") {
      CHECK(Register.set("north", false, Start + 2s));
      CHECK_FALSE(Register.isEvacuated("north"));
      CHECK_FALSE(Register.evacuatedSince("north"));
      CHECK_FALSE(Register.set("north", false, Start + 3s));
      SECTION("and again at the next request") {
        CHECK(Register.set("north", true, Start + 4s));
        CHECK(Register.evacuatedSince("north") == Start + 4s);
      }
    }
  }

  SECTION("don't include one whose request was only ever removed") {
    CHECK_FALSE(Register.set("north", false, Start));
    CHECK(Register.evacuated().empty());
  }

  SECTION("outlast the loss of the operator's latest rows") {
    Register.set("north", true, Start);
    Register.set("south", true, Start);
    Register.keepMissingUntil(Start + 10s);
    CHECK_FALSE(Register.set("north", false, Start + 1s));
    CHECK(Register.isEvacuated("north"));
    CHECK(Register.endKept(Start + 9999ms).empty());

    SECTION("but not for ever") {
      CHECK(Register.endKept(Start + 10s) == Names{"north"});
      CHECK(Register.evacuated() == Names{"south"});
      CHECK(Register.endKept(Start + 11s).empty());
    }
    SECTION("also where the store loses rows once more") {
      Register.keepMissingUntil(Start + 20s);
      Register.keepMissingUntil(Start + 5s);
      CHECK(Register.endKept(Start + 19s).empty());
      CHECK(Register.endKept(Start + 20s) == Names{"north"});
    }
    SECTION("and go on where the operator repeats the request") {
      CHECK_FALSE(Register.set("north", true, Start + 2s));
      CHECK(Register.endKept(Start + 10s).empty());
      SECTION("until it is removed later") {
        CHECK(Register.set("north", false, Start + 10s));
      }
    }
  }
}
