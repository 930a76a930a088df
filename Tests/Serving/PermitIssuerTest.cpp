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
  CHECK_FALSE(Limited->IsCold_);
  auto Cold = permitQuery("t", 7, std::nullopt, 13);
  REQUIRE(Cold);
  CHECK(Cold->RatePerSecond_ == 13);
  CHECK(Cold->IsCold_);
  CHECK(permitQuery("t", 7, 20, 13)->RatePerSecond_ == 13);
  CHECK(permitQuery("t", 7, 2, 13)->RatePerSecond_ == 2);
  CHECK(permitQuery("t", 7, 2, 13)->IsCold_);
  SECTION("of which the issuer uses the lower one that either VM knows") {
    CHECK(stricterQuery(*Limited, Cold).RatePerSecond_ == 13);
    CHECK(stricterQuery(*Limited, Cold).IsCold_);
    CHECK(stricterQuery(*Cold, Limited).RatePerSecond_ == 13);
    CHECK(stricterQuery(*Cold, Limited).IsCold_);
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
  SECTION("for a cold target are not granted by a VM that was frozen") {
    Query.IsCold_ = true;
    for (Duration After{}; After <= 10s; After += 100ms)
      Issuer.recordActivity(100ms, Start + After);
    Issuer.decide(Query, 1, Start + 10s);
    CHECK(Issuer.decide(Query, 1, Start + 11s).Granted_);
    // Other VMs may have asked another issuer since 11.5 s.
    CHECK_FALSE(Issuer.decide(Query, 1, Start + 13s).Granted_);
    SECTION("until the others have heard of it again") {
      Issuer.recordActivity(100ms, Start + 13100ms);
      CHECK_FALSE(Issuer.decide(Query, 1, Start + 13150ms).Granted_);
      CHECK(Issuer.decide(Query, 1, Start + 13300ms).Granted_);
    }
    SECTION("or that has learned of many others just now") {
      Issuer.recordActivity(700ms, Start + 13100ms);
      CHECK_FALSE(Issuer.decide(Query, 1, Start + 13800ms).Granted_);
      CHECK(Issuer.decide(Query, 1, Start + 13900ms).Granted_);
    }
    SECTION("while those for limits of several seconds go on") {
      Query.IsCold_ = false;
      CHECK(Issuer.decide(Query, 1, Start + 13s).Granted_);
    }
  }
  SECTION("of all issuers of a cold target stay within the users' rule") {
    // In one second 1.5 times the rate and 5 more, with permits that may be
    // 0.2 s old.
    Query.IsCold_ = true;
    Query.RatePerSecond_ = GENERATE(0.2, 2.0, 13.0, 50.0);
    auto IssuerCount = GENERATE(1, 2, 3, 5, 8, 20, 62, 195);
    INFO(IssuerCount << " issuers, " << Query.RatePerSecond_ << " a second");
    int Granted = 0;
    for (int Number = 0; Number < IssuerCount; ++Number) {
      PermitIssuer Each;
      double Share = 1.0 / IssuerCount;
      Each.decide(Query, Share, Start);
      for (Duration After = 50s; After < 51200ms; After += 1ms)
        while (Each.decide(Query, Share, Start + After).Granted_)
          ++Granted;
    }
    CHECK(Granted <= 1.5 * Query.RatePerSecond_ + 5);
    SECTION("and there are some with few issuers") {
      if (IssuerCount <= 5)
        CHECK(Granted > 0);
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
