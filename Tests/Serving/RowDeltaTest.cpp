#include "TableService/RowDelta.h"
#include "Entry/FleetCodec.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>
#include <rapidcheck/catch.h>

using namespace anvil;

/// A configuration with this many routes, of which one goes to another service.
static std::string configuration(int Revision, int Routes, int Moved) {
  std::string Text =
      "{\"Version\":" + std::to_string(Revision) + ",\"Routes\":[";
  for (int Index = 0; Index < Routes; ++Index)
    Text +=
        "{\"Name\":\"r-" + std::to_string(Index) +
        "\",\"Host\":\"h.example\",\"PathPrefix\":\"/p" +
        std::to_string(Index) +
        "/\",\"RouteType\":\"streaming\",\"TrafficSplit\":[{\"Service\":\"" +
        (Index == Moved ? "second" : "first") + "\",\"Weight\":1}]},";
  Text.back() = ']';
  return Text + "}";
}

TEST_CASE("a row's changes lead from one version to the next") {
  TableRow Base{"config", configuration(1, 2000, -1), 10};
  TableRow New{"config", configuration(2, 2000, 700), 12};

  SECTION("for a receiver that has the earlier version") {
    RowDelta Delta = makeRowDelta(Base, New);
    auto Built = applyRowDelta(Base, Delta);
    REQUIRE(Built);
    CHECK(Built->Value_ == New.Value_);
    CHECK(Built->Version_ == 12);
  }
  SECTION("in a message whose size is that of the change") {
    RowDelta Delta = makeRowDelta(Base, New);
    CHECK(New.Value_.size() > 200'000);
    CHECK(encodedSize(Delta) < 1000);
    PlanReadNotice Notice{{"vm-1", "life"}, {}, 12, 7600, 10, {}, {Delta}};
    std::string Bytes = encodeFleetMessage(Notice);
    CHECK(Bytes.size() < encodedSize(Delta) + 100);
    auto Decoded = decodeFleetMessage(Bytes);
    REQUIRE(isOk(Decoded));
    const auto &Received = std::get<PlanReadNotice>(valueOf(Decoded));
    REQUIRE(Received.Deltas_.size() == 1);
    CHECK(applyRowDelta(Base, Received.Deltas_[0])->Value_ == New.Value_);
  }
  SECTION("however many routes are added, removed or moved") {
    for (int Routes : {0, 1, 1999, 2001, 2600}) {
      TableRow Other{"config", configuration(3, Routes, 5), 12};
      auto Built = applyRowDelta(Base, makeRowDelta(Base, Other));
      REQUIRE(Built);
      CHECK(Built->Value_ == Other.Value_);
    }
  }
  SECTION("not for a receiver that has another version") {
    RowDelta Delta = makeRowDelta(Base, New);
    TableRow Other = Base;
    Other.Version_ = 11;
    CHECK_FALSE(applyRowDelta(Other, Delta));
    CHECK_FALSE(applyRowDelta(New, Delta));
  }
  SECTION("not from other bytes of that version, as before a restored copy") {
    TableRow Other{"config", configuration(1, 2000, 3), 10};
    CHECK_FALSE(applyRowDelta(Other, makeRowDelta(Base, New)));
  }
  SECTION("not from a removed row") {
    TableRow Removed{"config", "", 10, true};
    CHECK_FALSE(applyRowDelta(Removed, makeRowDelta(Base, New)));
  }
  SECTION("not by pieces outside the row, or without end") {
    RowDelta Delta = makeRowDelta(Base, New);
    RowDelta Outside = Delta;
    Outside.Pieces_.back().Offset_ = UINT64_MAX;
    REQUIRE(Outside.Pieces_.back().Length_ > 0);
    CHECK_FALSE(applyRowDelta(Base, Outside));
    RowDelta Long = Delta;
    Long.Pieces_.assign(1000, {0, Base.Value_.size(), ""});
    CHECK_FALSE(applyRowDelta(Base, Long));
  }
}

TEST_CASE("changes between any two values are exact") {
  rc::prop("for texts with repeated segments", [] {
    auto Segments = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("{a}", "{b}", "}", "x", "", "{ccc},"));
    auto Changed = Segments;
    auto Place = *rc::gen::inRange<std::size_t>(0, Changed.size() + 1);
    Changed.insert(Changed.begin() + static_cast<std::ptrdiff_t>(Place),
                   *rc::gen::string<std::string>());
    auto Joined = [](const std::vector<std::string> &Parts) {
      std::string Text;
      for (const std::string &Part : Parts)
        Text += Part;
      return Text;
    };
    TableRow Base{"k", Joined(Segments), 1};
    TableRow New{"k", Joined(Changed), 2};
    auto Built = applyRowDelta(Base, makeRowDelta(Base, New));
    RC_ASSERT(Built.has_value());
    RC_ASSERT(Built->Value_ == New.Value_);
    auto Back = applyRowDelta(New, makeRowDelta(New, {"k", Base.Value_, 3}));
    RC_ASSERT(Back.has_value());
    RC_ASSERT(Back->Value_ == Base.Value_);
  });
}
