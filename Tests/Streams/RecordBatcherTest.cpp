#include "Streams/RecordBatcher.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

static StreamRecord record(StreamKey Key) { return {Key, {"s", "v1"}, 20s}; }

TEST_CASE("records are written in groups", "[streams]") {
  RecordBatcher Batcher;
  Batcher.setInterval(80ms);
  TimePoint Now(1h);
  CHECK_FALSE(Batcher.dueAt());

  SECTION("the first after a pause at once") {
    RecordTicket First = Batcher.add(record(1));
    REQUIRE(Batcher.dueAt());
    CHECK(*Batcher.dueAt() <= Now);
    CHECK(Batcher.begin(Now).size() == 1);
    CHECK_FALSE(Batcher.isWritten(First));
    SECTION("those that arrive meanwhile together, after the interval") {
      RecordTicket Second = Batcher.add(record(2));
      RecordTicket Third = Batcher.add(record(3));
      CHECK_FALSE(Batcher.dueAt());
      Batcher.confirm();
      CHECK(Batcher.isWritten(First));
      CHECK_FALSE(Batcher.isWritten(Second));
      CHECK(Batcher.dueAt() == Now + 80ms);
      CHECK(Batcher.begin(Now + 80ms).size() == 2);
      Batcher.confirm();
      CHECK(Batcher.isWritten(Third));
      CHECK(Batcher.pending() == 0);
    }
    SECTION("and one that failed again with the same contents") {
      RecordTicket Second = Batcher.add(record(2));
      Batcher.retry();
      CHECK_FALSE(Batcher.isWritten(First));
      auto Again = Batcher.begin(Now + 80ms);
      REQUIRE(Again.size() == 1);
      CHECK(Again.front().Key_ == 1);
      Batcher.confirm();
      CHECK(Batcher.isWritten(First));
      CHECK_FALSE(Batcher.isWritten(Second));
    }
  }
  SECTION("and no row is larger than the store takes") {
    RecordTicket Last = 0;
    for (StreamKey Key = 0; Key < 2 * RecordBatcher::MaxRecords; ++Key)
      Last = Batcher.add(record(Key));
    CHECK(Batcher.begin(Now).size() == RecordBatcher::MaxRecords);
    Batcher.confirm();
    CHECK_FALSE(Batcher.isWritten(Last));
    CHECK(Batcher.begin(Now + 80ms).back().Key_ ==
          2 * RecordBatcher::MaxRecords - 1);
    Batcher.confirm();
    CHECK(Batcher.isWritten(Last));
  }
  SECTION("and those that nobody waits for in the room that is left") {
    for (StreamKey Key = 0; Key < 10; ++Key)
      Batcher.addUnawaited(record(Key));
    CHECK(Batcher.pending() == 10);
    for (StreamKey Key = 0; Key < RecordBatcher::MaxRecords - 4; ++Key)
      Batcher.add(record(100 + Key));
    auto Row = Batcher.begin(Now);
    REQUIRE(Row.size() == RecordBatcher::MaxRecords);
    CHECK(Row.front().Key_ == 100);
    CHECK(Row.back().Key_ == 3);
    SECTION("with the same contents when the row is written again") {
      Batcher.add(record(99));
      Batcher.dropUnawaited();
      Batcher.retry();
      CHECK(Batcher.begin(Now + 80ms).size() == Row.size());
      Batcher.confirm();
      CHECK(Batcher.begin(Now + 160ms).size() == 1);
    }
    SECTION("in a row of their own if nothing else is to be written") {
      Batcher.confirm();
      REQUIRE(Batcher.dueAt());
      CHECK(Batcher.begin(Now + 80ms).size() == 6);
      Batcher.confirm();
      CHECK_FALSE(Batcher.dueAt());
    }
  }
}
