#include "Entry/FleetCodec.h"
#include "Objects/ObjectCodec.h"
#include "Peer/FrameCodec.h"
#include "Placement/EngineCodec.h"
#include "TableService/PlatformCodec.h"
#include "platform/RowCodec.h"
#include "platform/TargetCodec.h"

#include <catch2/catch.hpp>

#include <functional>
#include <string>

using namespace anvil;

/// How many of the beginnings of a body, itself left out, are read as whole.
static std::size_t
readCuts(const std::string &Body,
         const std::function<bool(const std::string &)> &IsRead) {
  REQUIRE(IsRead(Body));
  std::size_t Count = 0;
  for (std::size_t Size = 0; Size < Body.size(); ++Size)
    Count += IsRead(Body.substr(0, Size));
  return Count;
}

// Guards against a body taken for whole that ended with its connection, as at
// the end of the sender's process.
TEST_CASE("no beginning of a body is read as the whole") {
  const std::vector<TableRow> Rows{{"a", "b", 3}, {"c", "", 4, true}};
  SECTION("of the store") {
    const std::string Page =
        R"({"RowVersion":9,"HasMore":true,"Rows":[{"Key":"b","RowVersion":4,)"
        R"("Deleted":true}]})";
    CHECK(readCuts(Page, [](const std::string &Bytes) {
            return isOk(platform::decodeRows(Bytes));
          }) == 0);
    CHECK(readCuts(R"({"RowVersion":9})", [](const std::string &Bytes) {
            return platform::decodeCommit(200, Bytes).Result_ ==
                   CommitResult::Committed;
          }) == 0);
    CHECK(readCuts(encodeRows(Rows), [](const std::string &Bytes) {
            return isOk(decodeRows(Bytes));
          }) == 0);
    CHECK(readCuts(R"({"version":9})", [](const std::string &Bytes) {
            return decodeOutcome(jsonReply(200, Bytes)).Result_ ==
                   CommitResult::Committed;
          }) == 0);
    CHECK(readCuts(encodeVms({{"vm-1", "north", "127.0.0.1:1"}}),
                   [](const std::string &Bytes) {
                     return isOk(decodeVms(Bytes));
                   }) == 0);
    CHECK(readCuts(encodeSnapshot({}), [](const std::string &Bytes) {
            return isOk(decodeSnapshot(Bytes));
          }) == 0);
  }
  SECTION("of an engine's control interface") {
    const std::string Report = R"({"Seq":5,"Busy":true,"Models":[]})";
    CHECK(readCuts(Report, [](const std::string &Bytes) {
            return isOk(platform::decodeEngineReport(Bytes));
          }) == 0);
    for (std::size_t Size = 1; Size <= Report.size(); ++Size)
      CHECK(platform::decodeOrderResult(200, Report.substr(0, Size)) ==
            OrderResult::Unknown);
    CHECK(readCuts(encodeEngineStatus({}), [](const std::string &Bytes) {
            return isOk(decodeEngineStatus(Bytes));
          }) == 0);
  }
  SECTION("of another VM") {
    CHECK(readCuts(encodeTableRows(Rows), [](const std::string &Bytes) {
            return isOk(decodeTableRows(Bytes));
          }) == 0);
    CHECK(readCuts(encodeFleetMessage(ClockRequest{"vm-1", Duration(7)}),
                   [](const std::string &Bytes) {
                     return isOk(decodeFleetMessage(Bytes));
                   }) == 0);
    CHECK(readCuts(encodeFrame({FrameKind::Notice, MessageType::Hello, 0, "x"}),
                   [](std::string Bytes) {
                     auto Read = extractFrame(Bytes);
                     return isOk(Read) && valueOf(Read).has_value();
                   }) == 0);
  }
}
