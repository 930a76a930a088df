#include "Serving/RemoteSpending.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const TimePoint Start{1000s};
static constexpr Duration Validity = 2s;

TEST_CASE("spending of another data centre reported by two VMs there",
          "[fleet][quota]") {
  RemoteSpending Spending;
  auto Report = [&](const char *Sender, std::int64_t Total, Duration At) {
    TokenTotals NewSpending = Spending.recordTotals(
        Sender, "life", {{"city", Total}}, Validity, Start + At);
    return NewSpending.contains("city") ? NewSpending.at("city") : 0;
  };
  // The second sender started when the customer had spent 900 already.
  REQUIRE(Report("r1", 1000, 0ms) == 0);
  REQUIRE(Report("r2", 100, 0ms) == 0);
  SECTION("is charged once") {
    CHECK(Report("r1", 1050, 400ms) == 50);
    CHECK(Report("r2", 150, 500ms) == 0);
    CHECK(Report("r2", 180, 900ms) == 30);
    CHECK(Report("r1", 1080, 1s) == 0);
  }
  SECTION("is refunded when requests did not run") {
    CHECK(Report("r1", 1050, 400ms) == 50);
    CHECK(Report("r2", 150, 500ms) == 0);
    CHECK(Report("r1", 1020, 800ms) == 0);
    CHECK(Report("r2", 120, 900ms) == -30);
  }
  SECTION("continues without a gap when one of them fails") {
    CHECK(Report("r2", 160, 1s) == 60);
    CHECK(Report("r2", 400, 3s) == 240);
    SECTION("and is not charged again when that VM is back") {
      CHECK(Spending
                .recordTotals("r1", "next", {{"city", 5}}, Validity, Start + 4s)
                .empty());
      CHECK(Spending
                .recordTotals("r1", "next", {{"city", 25}}, Validity,
                              Start + 4500ms)
                .at("city") == 20);
      CHECK(Report("r2", 420, 4600ms) == 0);
    }
  }
  SECTION("is not refunded because a suspended VM reports old totals") {
    CHECK(Report("r2", 160, 1s) == 60);
    CHECK(Report("r2", 300, 2s) == 140);
    CHECK(Report("r1", 1000, 2100ms) == 0);
    CHECK(Report("r2", 330, 2200ms) == 30);
  }
  SECTION("includes a customer that only one of them has seen yet") {
    CHECK(Spending
              .recordTotals("r1", "life", {{"city", 1000}, {"dispatch", 7}},
                            Validity, Start + 100ms)
              .at("dispatch") == 7);
    CHECK(Spending
              .recordTotals("r2", "life", {{"city", 100}, {"dispatch", 7}},
                            Validity, Start + 200ms)
              .empty());
  }
}
