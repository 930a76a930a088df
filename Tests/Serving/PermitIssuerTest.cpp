#include "Routing/PermitIssuer.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <limits>

using namespace anvil;
using namespace std::chrono_literals;

static constexpr TimePoint Start{1000s};

TEST_CASE("a target with a limit, a cold start or both has one rate",
          "[limits][cold]") {
  CHECK_FALSE(permitQuery("t", 7, std::nullopt, std::nullopt));
  auto Limited = permitQuery("t", 7, 20, std::nullopt);
  REQUIRE(Limited);
  CHECK(Limited->RatePerSecond_ == 20);
  CHECK(Limited->AllowsBurst_);
  auto Cold = permitQuery("t", 7, std::nullopt, 13);
  REQUIRE(Cold);
  CHECK(Cold->RatePerSecond_ == 13);
  CHECK_FALSE(Cold->AllowsBurst_);
  CHECK(permitQuery("t", 7, 20, 13)->RatePerSecond_ == 13);
  CHECK(permitQuery("t", 7, 2, 13)->RatePerSecond_ == 2);
  CHECK_FALSE(permitQuery("t", 7, 2, 13)->AllowsBurst_);
  SECTION("of which the issuer uses the lower one that either VM knows") {
    CHECK(stricterQuery(*Limited, Cold).RatePerSecond_ == 13);
    CHECK_FALSE(stricterQuery(*Limited, Cold).AllowsBurst_);
    CHECK(stricterQuery(*Cold, Limited).RatePerSecond_ == 13);
    CHECK_FALSE(stricterQuery(*Cold, Limited).AllowsBurst_);
    CHECK(stricterQuery(*Cold, std::nullopt).RatePerSecond_ == 13);
  }
}

TEST_CASE("permits for a target with a rate limit", "[limits]") {
  PermitIssuer Issuer;
  PermitQuery Query{"t", 7, 2};
  SECTION("are not granted by a VM that has just started to issue them") {
    PermitDecision First = Issuer.decide(Query, 1, Start);
    CHECK_FALSE(First.Granted_);
    CHECK(First.RetryIn_ == 500ms);
    SECTION("until the stated wait is over") {
      CHECK_FALSE(Issuer.decide(Query, 1, Start + 499ms).Granted_);
      CHECK(Issuer.decide(Query, 1, Start + 500ms).Granted_);
      CHECK_FALSE(Issuer.decide(Query, 1, Start + 501ms).Granted_);
    }
    SECTION("and few accumulate while there are no requests") {
      int Granted = 0;
      while (Issuer.decide(Query, 1, Start + 50s).Granted_)
        ++Granted;
      CHECK(Granted == 2);
    }
    SECTION("nor when its clock goes backwards") {
      CHECK_FALSE(Issuer.decide(Query, 1, Start - 5s).Granted_);
    }
  }
  SECTION("come one by one if the target takes no burst") {
    Query.AllowsBurst_ = false;
    Query.RatePerSecond_ = 50;
    Issuer.decide(Query, 1, Start);
    CHECK(Issuer.decide(Query, 1, Start + 10s).Granted_);
    CHECK_FALSE(Issuer.decide(Query, 1, Start + 10s + 19ms).Granted_);
    CHECK(Issuer.decide(Query, 1, Start + 10s + 20ms).Granted_);
    SECTION("and not from a VM that reaches hardly any other one") {
      CHECK_FALSE(Issuer.decide(Query, 1.0 / 62, Start + 11s).Granted_);
      CHECK(Issuer.decide(Query, 1.0 / 5, Start + 11s).Granted_);
    }
  }
  SECTION("are fewer while other VMs are unreachable") {
    Issuer.decide(Query, 0.125, Start);
    CHECK_FALSE(Issuer.decide(Query, 0.125, Start + 3900ms).Granted_);
    CHECK(Issuer.decide(Query, 0.125, Start + 4001ms).Granted_);
  }
  SECTION("are not granted while the number of VMs is unknown") {
    Issuer.decide(Query, 0, Start);
    CHECK_FALSE(Issuer.decide(Query, 0, Start + 100s).Granted_);
  }
  SECTION("start with an empty bucket for a new incarnation") {
    Issuer.decide(Query, 1, Start);
    Query.Incarnation_ = 8;
    CHECK_FALSE(Issuer.decide(Query, 1, Start + 10s).Granted_);
    CHECK(Issuer.decide(Query, 1, Start + 11s).Granted_);
    SECTION("and the earlier incarnation gets no more") {
      Query.Incarnation_ = 7;
      CHECK_FALSE(Issuer.decide(Query, 1, Start + 20s).Granted_);
    }
  }
  SECTION("are granted at a low rate for a limit that is too low or invalid") {
    for (double Limit :
         {0.0, -1.0, 1e-300, std::numeric_limits<double>::quiet_NaN(),
          std::numeric_limits<double>::infinity()}) {
      INFO(Limit);
      PermitIssuer Fresh;
      Query.RatePerSecond_ = Limit;
      int Granted = 0;
      for (int Step = 0; Step < 200; ++Step)
        Granted += Fresh.decide(Query, 1, Start + Step * 100ms).Granted_;
      CHECK(Granted >= 3);
      CHECK(Granted <= 4);
    }
  }
  SECTION("of a target without requests are dropped") {
    Issuer.decide(Query, 1, Start);
    Issuer.decide({"u", 1, 5}, 1, Start + 200s);
    CHECK(Issuer.size() == 1);
  }
}

TEST_CASE("permits stay within the limit over any time span", "[limits]") {
  rc::prop("at any times and rates of requests", [] {
    double Rate = *rc::gen::inRange(1, 500) * 0.1;
    auto Pauses =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    PermitIssuer Issuer;
    TimePoint Now = Start;
    std::vector<TimePoint> Granted;
    for (int Pause : Pauses) {
      Now += Pause * 1ms;
      if (Issuer.decide({"t", 1, Rate}, 1, Now).Granted_)
        Granted.push_back(Now);
    }
    for (std::size_t First = 0; First < Granted.size(); ++First)
      for (std::size_t Last = First; Last < Granted.size(); ++Last) {
        double Span = toSeconds(Granted[Last] - Granted[First]);
        RC_ASSERT(static_cast<double>(Last - First + 1) <=
                  Rate * (Span + 0.1) + 2.001);
      }
  });
}
