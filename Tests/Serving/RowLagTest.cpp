#include "Serving/RowLag.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

// Guards against a VM that takes itself for up to date, or for late, although
// it is not.
TEST_CASE("how long a copy of a table has been behind") {
  RowLag Lag;
  TimePoint Start{100s};
  CHECK_FALSE(Lag.behindSince());

  SECTION("another VM has read a newer row") {
    Lag.recordApplied(10);
    Lag.recordKnown(12, Start);
    CHECK(Lag.behindSince() == Start);
    SECTION("the same row is reported again, later") {
      Lag.recordKnown(12, Start + 1s);
      CHECK(Lag.behindSince() == Start);
    }
    SECTION("it is reported again with an earlier time") {
      Lag.recordKnown(12, Start - 1s);
      CHECK(Lag.behindSince() == Start - 1s);
    }
    SECTION("a newer row was there before") {
      Lag.recordKnown(15, Start - 1s);
      CHECK(Lag.behindSince() == Start - 1s);
    }
    SECTION("the row arrives") {
      Lag.recordApplied(12);
      CHECK_FALSE(Lag.behindSince());
      SECTION("and a late notice of it") {
        Lag.recordKnown(12, Start);
        CHECK_FALSE(Lag.behindSince());
      }
    }
    SECTION("the row arrives after a further one became known") {
      Lag.recordKnown(15, Start + 2s);
      Lag.recordApplied(12);
      CHECK(Lag.behindSince() == Start + 2s);
    }
  }

  SECTION("more rows are missing than are told apart") {
    for (std::uint64_t Row = 1; Row <= 1000; ++Row)
      Lag.recordKnown(Row, Start + Row * 1s);
    CHECK(Lag.behindSince() == Start + 1s);
    Lag.recordApplied(999);
    // It never seems less behind than it is.
    CHECK(Lag.behindSince());
    CHECK(*Lag.behindSince() <= Start + 1000s);
    Lag.recordApplied(1000);
    CHECK_FALSE(Lag.behindSince());
  }

  SECTION("the table starts to count anew") {
    Lag.recordApplied(1000);
    Lag.reset();
    Lag.recordKnown(1, Start);
    CHECK(Lag.behindSince() == Start);
  }
}
