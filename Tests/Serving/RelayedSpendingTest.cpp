#include "Serving/RelayedSpending.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};
static constexpr Duration Time = 2s;

TEST_CASE("spending that two VMs tell of another data centre",
          "[fleet][quota]") {
  RelayedSpending Spending;
  auto Told = [&](const char *Teller, std::int64_t Total, Duration At) {
    TokenTotals New =
        Spending.note(Teller, "life", {{"city", Total}}, Time, Start + At);
    return New.contains("city") ? New.at("city") : 0;
  };
  // The second teller started when the customer had spent 900 already.
  REQUIRE(Told("r1", 1000, 0ms) == 0);
  REQUIRE(Told("r2", 100, 0ms) == 0);
  SECTION("is charged once") {
    CHECK(Told("r1", 1050, 400ms) == 50);
    CHECK(Told("r2", 150, 500ms) == 0);
    CHECK(Told("r2", 180, 900ms) == 30);
    CHECK(Told("r1", 1080, 1s) == 0);
  }
  SECTION("is given back where requests did not run") {
    CHECK(Told("r1", 1050, 400ms) == 50);
    CHECK(Told("r2", 150, 500ms) == 0);
    CHECK(Told("r1", 1020, 800ms) == 0);
    CHECK(Told("r2", 120, 900ms) == -30);
  }
  SECTION("goes on without a gap when one of them dies") {
    CHECK(Told("r2", 160, 1s) == 60);
    CHECK(Told("r2", 400, 3s) == 240);
    SECTION("and is not charged again when it is back") {
      CHECK(
          Spending.note("r1", "next", {{"city", 5}}, Time, Start + 4s).empty());
      CHECK(Spending.note("r1", "next", {{"city", 25}}, Time, Start + 4500ms)
                .at("city") == 20);
      CHECK(Told("r2", 420, 4600ms) == 0);
    }
  }
  SECTION("is not taken back by one that was suspended and tells old totals") {
    CHECK(Told("r2", 160, 1s) == 60);
    CHECK(Told("r2", 300, 2s) == 140);
    CHECK(Told("r1", 1000, 2100ms) == 0);
    CHECK(Told("r2", 330, 2200ms) == 30);
  }
  SECTION("counts a customer that only one of them has seen yet") {
    CHECK(Spending
              .note("r1", "life", {{"city", 1000}, {"dispatch", 7}}, Time,
                    Start + 100ms)
              .at("dispatch") == 7);
    CHECK(Spending
              .note("r2", "life", {{"city", 100}, {"dispatch", 7}}, Time,
                    Start + 200ms)
              .empty());
  }
}
