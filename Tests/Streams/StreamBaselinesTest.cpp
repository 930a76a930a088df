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
    Baselines.beginEra(Now);
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

// Guards against LOST: streams from before a restore of the store can't be
// taken up, since the new era has no baseline; and against ORDER, if records of
// other versions are lost with the earlier era.
TEST_CASE("a service's baseline goes on in a new era of the store",
          "[streams]") {
  StreamBaselines Baselines;
  TimePoint Now(1h);
  auto List = [&](const std::vector<std::string> &Versions) {
    Baselines.listed().recordRead(Now);
    for (const std::string &Version : Versions)
      Baselines.listed().record("engines", Version, Now);
  };
  auto Follow = [&](Duration Time, const std::vector<std::string> &Versions) {
    for (TimePoint End = Now + Time; Now < End; Now += 500ms)
      List(Versions);
  };
  auto Due = [&](const std::map<std::string, std::size_t> &Usable) {
    return Baselines.dueChange("engines", Usable, false, Now);
  };
  auto Confirm = [&](BaselineStage Stage) {
    Baselines.applyRows({{"engines", "v1", Stage, 3}}, Now, Now);
  };
  auto Restore = [&] {
    Baselines.beginEra(Now);
    Baselines.applyRows({}, Now, Now);
  };
  Confirm(BaselineStage::Open);

  SECTION(
      "where the list showed no other version for as long as a copy's age") {
    Follow(40s, {"v1"});
    Confirm(BaselineStage::Open);
    Restore();
    CHECK_FALSE(Due({{"v1", 3}}));
    SECTION("once the targets that run are listed again") {
      Follow(2s, {"v1"});
      CHECK_FALSE(Due({{"v1", 3}}));
      Follow(1s, {"v1"});
      auto First = Due({{"v1", 3}});
      REQUIRE(First);
      CHECK(First->Version_ == "v1");
      CHECK(First->Stage_ == BaselineStage::Open);
      CHECK(First->RowVersion_ == 0);
    }
    SECTION("not if another version is listed then") {
      Follow(1s, {"v1", "v2"});
      auto First = Due({{"v1", 3}, {"v2", 1}});
      REQUIRE(First);
      CHECK_FALSE(First->Version_);
      CHECK(First->Stage_ == BaselineStage::Closing);
    }
    SECTION("through an era that ended before it had a row") {
      Follow(1s, {"v1"});
      Restore();
      Follow(3s, {"v1"});
      auto First = Due({{"v1", 3}});
      REQUIRE(First);
      CHECK(First->Version_ == "v1");
    }
  }
  SECTION("not where another version was listed, also if it has left") {
    Follow(40s, {"v1"});
    Follow(1s, {"v1", "v2"});
    Follow(20s, {"v1"});
    Confirm(BaselineStage::Open);
    Restore();
    auto First = Due({{"v1", 3}});
    REQUIRE(First);
    CHECK_FALSE(First->Version_);
  }
  SECTION("not by a VM that hasn't followed the list") {
    Follow(20s, {"v1"});
    Now += 11s;
    Follow(15s, {"v1"});
    Confirm(BaselineStage::Open);
    Restore();
    Follow(4s, {"v1"});
    CHECK_FALSE(Due({{"v1", 3}}));
    SECTION("which leaves the row to others for a while") {
      Follow(1s, {"v1"});
      auto First = Due({{"v1", 3}});
      REQUIRE(First);
      CHECK_FALSE(First->Version_);
    }
  }
  SECTION("not if the lease had ended or the baseline was closing") {
    bool IsOld = GENERATE(true, false);
    Follow(40s, {"v1"});
    Confirm(IsOld ? BaselineStage::Open : BaselineStage::Closing);
    if (IsOld)
      Follow(125s, {"v1"});
    else
      Baselines.applyRows({{"engines", "v1", BaselineStage::Closing, 4}}, Now,
                          Now);
    Restore();
    Follow(4s, {"v1"});
    CHECK_FALSE(Due({{"v1", 3}}));
    Follow(1s, {"v1"});
    auto First = Due({{"v1", 3}});
    REQUIRE(First);
    CHECK_FALSE(First->Version_);
  }
  SECTION("and a VM that starts in that era leaves the first row to others") {
    StreamBaselines Started;
    Started.beginEra(Now);
    Started.applyRows({}, Now, Now);
    CHECK_FALSE(Started.dueChange("engines", {{"v1", 3}}, false, Now + 4s));
    auto First = Started.dueChange("engines", {{"v1", 3}}, false, Now + 5s);
    REQUIRE(First);
    CHECK_FALSE(First->Version_);
    CHECK(Started.dueChange("engines", {{"v1", 3}}, true, Now)->Version_ ==
          "v1");
  }
}
