#include "Streams/StreamBaselines.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static const StreamOrigin Old{"engines", "v1"};
static const StreamOrigin New{"engines", "v2"};

TEST_CASE("streams begin without a record only at the baseline", "[streams]") {
  StreamBaselines Baselines;
  TimePoint Now(1h);
  auto Show = [&](std::optional<std::string> Version, BaselineStage Stage,
                  std::uint64_t Row, TimePoint At) {
    Baselines.applyRows({{"engines", std::move(Version), Stage, Row}}, At, At);
  };
  CHECK_FALSE(Baselines.mayBeginUnrecorded(Old, 12s, Now));
  CHECK_FALSE(Baselines.versionOf("engines"));
  Show("v1", BaselineStage::Open, 5, Now);

  SECTION("while it is open and confirmed") {
    CHECK(Baselines.mayBeginUnrecorded(Old, 12s, Now));
    CHECK(Baselines.mayBeginUnrecorded(Old, 12s, Now + 119s));
    CHECK_FALSE(Baselines.mayBeginUnrecorded(New, 12s, Now));
    CHECK_FALSE(Baselines.mayBeginUnrecorded({"other", "v1"}, 12s, Now));
    CHECK_FALSE(Baselines.mayBeginUnrecorded(Old, 61s, Now));
  }
  SECTION("not by a VM that hasn't read it for the lease") {
    CHECK_FALSE(Baselines.mayBeginUnrecorded(Old, 12s, Now + 120s));
    CHECK(Baselines.versionOf("engines") == "v1");
    SECTION("until it reads it again") {
      Show("v1", BaselineStage::Open, 5, Now + 300s);
      CHECK(Baselines.mayBeginUnrecorded(Old, 12s, Now + 300s));
    }
  }
  SECTION("an answer that was overtaken confirms nothing") {
    Show("v1", BaselineStage::Closing, 6, Now + 2s);
    Show("v1", BaselineStage::Open, 5, Now + 1s);
    CHECK_FALSE(Baselines.mayBeginUnrecorded(Old, 12s, Now + 3s));
  }
  SECTION("and it is the version of streams without a record while it closes") {
    Show("v1", BaselineStage::Closing, 6, Now + 1s);
    CHECK_FALSE(Baselines.mayBeginUnrecorded(Old, 12s, Now + 2s));
    CHECK(Baselines.versionOf("engines") == "v1");
  }
  SECTION("a new era of the store begins without one") {
    Baselines.clear();
    CHECK_FALSE(Baselines.mayBeginUnrecorded(Old, 12s, Now));
    CHECK_FALSE(Baselines.versionOf("engines"));
  }
}

TEST_CASE("a service's baseline follows its targets", "[streams]") {
  StreamBaselines Baselines;
  TimePoint Now(1h);
  auto Due = [&](const std::map<std::string, std::size_t> &Usable, TimePoint At,
                 bool IsFirst = false) {
    return Baselines.dueChange("engines", Usable, IsFirst, At);
  };
  auto Show = [&](StreamBaseline Row, std::uint64_t RowVersion, TimePoint At) {
    Row.RowVersion_ = RowVersion;
    Baselines.applyRows({Row}, At, At);
  };
  CHECK_FALSE(Due({{"v1", 3}}, Now, true));
  Baselines.applyRows({}, Now, Now);
  CHECK_FALSE(Due({}, Now, true));

  SECTION("on the first start it is the version of most") {
    auto First = Due({{"v1", 3}, {"v2", 1}}, Now, true);
    REQUIRE(First);
    CHECK(First->Version_ == "v1");
    CHECK(First->Stage_ == BaselineStage::Open);
    CHECK(First->RowVersion_ == 0);
  }
  SECTION("later a missing row says that streams may have begun anywhere") {
    auto First = Due({{"v1", 3}}, Now);
    REQUIRE(First);
    CHECK_FALSE(First->Version_);
    CHECK(First->Stage_ == BaselineStage::Closing);
    Show(*First, 4, Now);
    CHECK_FALSE(Baselines.versionOf("engines"));
    CHECK_FALSE(Due({{"v1", 3}}, Now + 184s));
    SECTION("until all of these have ended") {
      auto Next = Due({{"v1", 3}}, Now + 185s);
      REQUIRE(Next);
      CHECK(Next->Version_ == "v1");
      CHECK(Next->Stage_ == BaselineStage::Open);
      CHECK(Next->RowVersion_ == 4);
    }
  }
  SECTION("it stays while any of its targets is usable") {
    Show({"engines", "v1", BaselineStage::Open}, 1, Now);
    CHECK_FALSE(Due({{"v1", 1}, {"v2", 9}}, Now + 100s));
    SECTION("and if they are only gone for a moment") {
      CHECK_FALSE(Due({{"v2", 9}}, Now + 101s));
      CHECK_FALSE(Due({{"v1", 1}, {"v2", 9}}, Now + 103s));
      CHECK_FALSE(Due({{"v2", 9}}, Now + 107s));
    }
    SECTION("it is closed when they have left") {
      CHECK_FALSE(Due({{"v2", 9}}, Now + 101s));
      auto Closing = Due({{"v2", 9}}, Now + 106s);
      REQUIRE(Closing);
      CHECK(Closing->Version_ == "v1");
      CHECK(Closing->Stage_ == BaselineStage::Closing);
      Show(*Closing, 2, Now + 106s);
      SECTION("open again if the release is taken back") {
        auto Back = Due({{"v1", 2}, {"v2", 7}}, Now + 110s);
        REQUIRE(Back);
        CHECK(Back->Version_ == "v1");
        CHECK(Back->Stage_ == BaselineStage::Open);
      }
      SECTION("and becomes the new version once no stream may need the old") {
        CHECK_FALSE(Due({{"v2", 9}}, Now + 290s));
        auto Next = Due({{"v2", 9}, {"v3", 1}}, Now + 291s);
        REQUIRE(Next);
        CHECK(Next->Version_ == "v2");
        CHECK(Next->Stage_ == BaselineStage::Open);
        CHECK(Next->RowVersion_ == 2);
      }
    }
  }
}
