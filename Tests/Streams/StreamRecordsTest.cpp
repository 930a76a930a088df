#include "Streams/StreamRecords.h"
#include "Streams/StreamRows.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace anvil;
using namespace std::chrono_literals;

static const StreamOrigin Old{"engines", "v1"};
static const StreamOrigin New{"engines", "v2"};

TEST_CASE("records tell where a stream began", "[streams]") {
  StreamRecords Records;
  TimePoint Now(1h);
  Records.add({7, Old, 20s}, Now);

  SECTION("for as long as its caller may take it up") {
    CHECK(Records.find(7, Now + 19s).Evidence_ == StreamEvidence::Known);
    CHECK(Records.find(7, Now + 19s).Origin_ == Old);
    CHECK(Records.find(7, Now + 21s).Evidence_ == StreamEvidence::None);
    CHECK(Records.find(8, Now).Evidence_ == StreamEvidence::None);
  }
  SECTION("and the same record twice tells the same") {
    Records.add({7, Old, 20s}, Now + 10s);
    CHECK(Records.find(7, Now + 25s).Origin_ == Old);
  }
  SECTION("but records of two origins tell nothing") {
    Records.add({7, New, 20s}, Now + 1s);
    CHECK(Records.find(7, Now + 1s).Evidence_ == StreamEvidence::Conflicting);
    SECTION("until they have expired") {
      Records.add({7, New, 20s}, Now + 40s);
      CHECK(Records.find(7, Now + 40s).Origin_ == New);
    }
  }
  SECTION("and expired ones can be removed at once") {
    Records.add({8, Old, 5s}, Now);
    Records.removeExpired(Now + 10s);
    CHECK(Records.size() == 1);
    CHECK(Records.find(7, Now + 10s).Origin_ == Old);
  }
  SECTION("and those that are known can be written again") {
    Records.add({8, Old, 20s}, Now);
    Records.add({8, New, 20s}, Now);
    Records.add({9, New, 5s}, Now);
    auto Known = Records.known(Now + 10s);
    REQUIRE(Known.size() == 1);
    CHECK(Known.front().Key_ == 7);
    CHECK(Known.front().Origin_ == Old);
    CHECK(Known.front().KeepFor_ == 10s);
  }
  SECTION("and the memory for expired ones is used again") {
    for (int Second = 0; Second < 1000; ++Second)
      for (StreamKey Key = 0; Key < 10; ++Key)
        Records.add(
            {1000 + 10 * static_cast<StreamKey>(Second) + Key, New, 20s},
            Now + std::chrono::seconds(Second));
    CHECK(Records.size() < 2000);
  }
}

TEST_CASE("rows about streams are read back as they were written",
          "[streams]") {
  rc::prop(
      "records", [](const std::vector<std::pair<std::uint64_t, bool>> &In) {
        std::vector<StreamRecord> Records;
        for (auto [Key, IsNew] : In)
          Records.push_back({Key, IsNew ? New : Old, 12345ms});
        std::size_t Matched = 0;
        auto Out = decodeStreamRecords(encodeStreamRecords(Records));
        for (const StreamRecord &Record : Records)
          for (const StreamRecord &Read : Out)
            if (Read.Key_ == Record.Key_ && Read.Origin_ == Record.Origin_) {
              ++Matched;
              RC_ASSERT(Read.KeepFor_ >= Record.KeepFor_);
              break;
            }
        RC_ASSERT(Out.size() == Records.size());
        RC_ASSERT(Matched == Records.size());
      });
  rc::prop("any bytes are harmless", [](const std::string &Bytes) {
    decodeStreamRecords(Bytes);
    decodeBaseline(baselineRowKey("engines", 0), Bytes, 1, 0);
  });
  SECTION("baselines too, in their era") {
    std::string Key = baselineRowKey("engines", 3);
    StreamBaseline Open{"engines", "v1", BaselineStage::Open, 0};
    auto Read = decodeBaseline(Key, encodeBaseline(Open), 9, 3);
    REQUIRE(Read);
    CHECK(Read->Service_ == "engines");
    CHECK(Read->Version_ == "v1");
    CHECK(Read->Stage_ == BaselineStage::Open);
    CHECK(Read->RowVersion_ == 9);
    CHECK_FALSE(decodeBaseline(Key, encodeBaseline(Open), 9, 4));
    CHECK_FALSE(decodeBaseline("other", encodeBaseline(Open), 9, 3));
    StreamBaseline Unknown{"engines", std::nullopt, BaselineStage::Closing, 0};
    CHECK_FALSE(decodeBaseline(Key, encodeBaseline(Unknown), 9, 3)->Version_);
    SECTION("and one that can't be read allows nothing") {
      auto Odd = decodeBaseline(Key, R"({"stage":"open"})", 9, 3);
      REQUIRE(Odd);
      CHECK(Odd->Stage_ == BaselineStage::Closing);
      CHECK(
          decodeBaseline(Key, R"({"stage":7,"version":"v1"})", 9, 3)->Stage_ ==
          BaselineStage::Closing);
    }
  }
  SECTION("and the key of a row of records names its part") {
    CHECK(partOfRecordRow(recordRowPrefix(recordPart(3), "vm@a/1") + "12") ==
          recordPart(3));
    CHECK_FALSE(partOfRecordRow(baselineRowKey("engines", 0)));
    CHECK_FALSE(partOfRecordRow("record/"));
  }
}
