#include "StoreEra/StoreEra.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};
static constexpr Duration Validity = 12s;

// Guards against rows and confirmations of a lost history being used after the
// store was restored from a copy.
TEST_CASE("the era of the store", "[store-era]") {
  StoreEra Era;
  SECTION("is unknown while answers name none, which changes nothing") {
    CHECK(Era.record(std::nullopt, Start) == EraRelation::Unnamed);
    CHECK(Era.current() == 0);
    CHECK(Era.earlierRightsEndAt(Validity, false) <= Start);
    SECTION("until a store begins to name it") {
      CHECK(Era.record(1, Start + 1s) == EraRelation::Newer);
      CHECK(Era.earlierRightsEndAt(Validity, true) == Start + 1s + Validity);
    }
  }
  SECTION("begins for a process with its first answer") {
    CHECK(Era.record(3, Start) == EraRelation::Newer);
    CHECK_FALSE(Era.hasSeenEarlier());
    SECTION("and may have begun shortly before") {
      CHECK(Era.earlierRightsEndAt(Validity, false) == Start + Validity);
    }
    SECTION("but not where the whole system starts for the first time") {
      CHECK(Era.earlierRightsEndAt(Validity, true) <= Start);
    }
    SECTION("and goes on with every other answer that names it or none") {
      CHECK(Era.record(3, Start + 5s) == EraRelation::Current);
      CHECK(Era.record(std::nullopt, Start + 6s) == EraRelation::Unnamed);
      CHECK(Era.seenAt() == Start);
    }
    SECTION("and ends with the first answer of a newer one") {
      CHECK(Era.record(4, Start + 60s) == EraRelation::Newer);
      CHECK(Era.hasSeenEarlier());
      CHECK(Era.earlierRightsEndAt(Validity, true) == Start + 60s + Validity);
      SECTION("after which late answers of the earlier one are discarded") {
        CHECK(Era.record(3, Start + 61s) == EraRelation::Older);
        CHECK(Era.current() == 4);
      }
      SECTION("also if another begins before this one is repaired") {
        CHECK(Era.record(6, Start + 62s) == EraRelation::Newer);
        CHECK(Era.seenAt() == Start + 62s);
      }
    }
  }
  SECTION("is read from digits only") {
    CHECK(StoreEra::parse("17") == 17);
    for (const char *Text :
         {"", "0", "-1", "1 ", "x", "1.5", "99999999999999999999"})
      CHECK_FALSE(StoreEra::parse(Text));
  }
  SECTION("leads fencing tokens, which never fall and fit into JSON numbers") {
    CHECK(StoreEra::firstFence(0) == 1);
    CHECK(StoreEra::firstFence(8) > StoreEra::firstFence(7) + 1000000);
    CHECK(StoreEra::firstFence(StoreEra::MaxEra) < (std::uint64_t{1} << 53));
    CHECK(StoreEra::parse(std::to_string(StoreEra::MaxEra)));
    CHECK_FALSE(StoreEra::parse(std::to_string(StoreEra::MaxEra + 1)));
  }
}
