#include "Routing/TargetLimits.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

TEST_CASE("limits that targets state", "[limits]") {
  TargetLimits Limits;
  SECTION("are absent before a target states one") {
    CHECK_FALSE(Limits.updateFromResponse("t", 7, std::nullopt, Start, Start));
    CHECK_FALSE(Limits.rateOf("t", 7));
    CHECK(Limits.size() == 0);
  }
  SECTION("apply from the first response that states one") {
    CHECK(Limits.updateFromResponse("t", 7, 1.8, Start - 1s, Start));
    CHECK(Limits.rateOf("t", 7) == 1.8);
    CHECK_FALSE(Limits.rateOf("u", 7));

    SECTION("and change with the next response") {
      CHECK_FALSE(Limits.updateFromResponse("t", 7, 1.8, Start, Start + 1s));
      CHECK(Limits.updateFromResponse("t", 7, 0.9, Start, Start + 1s));
      CHECK(Limits.rateOf("t", 7) == 0.9);
    }
    SECTION("until a response to a later request states none") {
      CHECK_FALSE(Limits.updateFromResponse("t", 7, std::nullopt, Start - 1ms,
                                            Start + 1s));
      CHECK(Limits.rateOf("t", 7) == 1.8);
      CHECK(Limits.updateFromResponse("t", 7, std::nullopt, Start + 1ms,
                                      Start + 1s));
      CHECK_FALSE(Limits.rateOf("t", 7));
      SECTION("and older reports don't restore it") {
        CHECK_FALSE(Limits.updateFromPeer("t", {7, 1.8, 1500ms}, Start + 2s));
        CHECK_FALSE(Limits.rateOf("t", 7));
      }
    }
    SECTION("and end with the target's incarnation") {
      CHECK_FALSE(Limits.rateOf("t", 8));
      CHECK(Limits.updateFromResponse("t", 8, std::nullopt, Start, Start + 1s));
      SECTION("whose state a late response of the earlier one doesn't change") {
        CHECK_FALSE(Limits.updateFromResponse("t", 7, 1.8, Start, Start + 2s));
        CHECK_FALSE(Limits.rateOf("t", 8));
        CHECK_FALSE(Limits.updateFromPeer("t", {7, 1.8, 0s}, Start + 2s));
        CHECK_FALSE(Limits.rateOf("t", 7));
      }
    }
    SECTION("are reported to other VMs for a limited time, with their age") {
      auto Reported = Limits.statedWithin(2s, Start + 1s);
      CHECK(Reported == AdvertisedLimits{{"t", {7, 1.8, 1s}}});
      CHECK(Limits.statedWithin(2s, Start + 3s).empty());
    }
    SECTION("are stale when no response confirms them") {
      CHECK_FALSE(Limits.isStale("t", Start + 900ms));
      CHECK(Limits.isStale("t", Start + 1100ms));
      Limits.updateFromResponse("t", 7, 1.8, Start, Start + 1100ms);
      CHECK_FALSE(Limits.isStale("t", Start + 1100ms));
      CHECK_FALSE(Limits.isStale("u", Start));
    }
    SECTION("are kept when old, but their withdrawals are not") {
      Limits.prune(30s, Start + 60s);
      CHECK(Limits.rateOf("t", 7) == 1.8);
      Limits.updateFromResponse("t", 7, std::nullopt, Start + 1s, Start + 60s);
      Limits.prune(30s, Start + 120s);
      CHECK(Limits.size() == 0);
    }
  }
  SECTION("apply when another VM reports them") {
    CHECK(Limits.updateFromPeer("t", {7, 1.8, 300ms}, Start));
    CHECK(Limits.rateOf("t", 7) == 1.8);
    CHECK(Limits.updateFromPeer("t", {7, std::nullopt, 100ms}, Start));
    CHECK_FALSE(Limits.rateOf("t", 7));
  }
}

TEST_CASE("VMs that report a limit to each other don't refresh it",
          "[limits]") {
  TargetLimits Limits[2];
  Limits[0].updateFromResponse("t", 1, 2.0, Start, Start);
  TimePoint Now = Start;
  for (int Round = 0; Round < 100; ++Round) {
    AdvertisedLimits Reported = Limits[Round % 2].statedWithin(2s, Now);
    Now += 100ms;
    for (const auto &[Target, Limit] : Reported)
      Limits[1 - Round % 2].updateFromPeer(Target, Limit, Now);
  }
  CHECK(Limits[0].statedWithin(2s, Now).empty());
  CHECK(Limits[1].statedWithin(2s, Now).empty());
}

TEST_CASE("VMs agree on a limit whatever the order of the reports",
          "[limits]") {
  rc::prop("the newest report of the newest incarnation counts", [] {
    struct Report {
      std::int64_t Incarnation_;
      double Rate_;
      Duration Age_;
    };
    auto Reports =
        *rc::gen::container<std::vector<Report>>(rc::gen::construct<Report>(
            rc::gen::inRange<std::int64_t>(1, 4),
            rc::gen::map(rc::gen::inRange(1, 50),
                         [](int Rate) { return Rate * 1.0; }),
            rc::gen::map(rc::gen::inRange(0, 20),
                         [](int Step) { return Duration(Step * 1s); })));
    RC_PRE(!Reports.empty());
    // A target states one limit at a time.
    for (Report &Each : Reports)
      Each.Rate_ = static_cast<double>(Each.Incarnation_ * 100 +
                                       Each.Age_.count() / 1000000);
    auto Newest =
        *std::ranges::max_element(Reports, {}, [](const Report &Each) {
          return std::pair(Each.Incarnation_, -Each.Age_);
        });
    auto Order = *rc::gen::arbitrary<std::vector<std::size_t>>();
    TargetLimits Limits;
    for (std::size_t Index : Order) {
      const Report &Each = Reports[Index % Reports.size()];
      Limits.updateFromPeer("t", {Each.Incarnation_, Each.Rate_, Each.Age_},
                            Start);
    }
    for (const Report &Each : Reports)
      Limits.updateFromPeer("t", {Each.Incarnation_, Each.Rate_, Each.Age_},
                            Start);
    RC_ASSERT(Limits.rateOf("t", Newest.Incarnation_) == Newest.Rate_);
  });
}
