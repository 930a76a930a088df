#include "Serving/EventSplitter.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace anvil;

TEST_CASE("a stream split into complete events", "[stream]") {
  EventSplitter Events;
  CHECK(Events.appendBytes("id: 1\nda") == "");
  CHECK(Events.lastId().empty());
  CHECK(Events.appendBytes("ta: x\n\nid: 2\n") == "id: 1\ndata: x\n\n");
  CHECK(Events.lastId() == "1");
  CHECK(Events.incompleteEvent() == "id: 2\n");
  SECTION("drops the incomplete event of a broken engine") {
    Events.dropIncompleteEvent();
    CHECK(Events.appendBytes("id: 2\ndata: y\n\n") == "id: 2\ndata: y\n\n");
    CHECK(Events.lastId() == "2");
  }
  SECTION("keeps the last id after events without one") {
    CHECK(Events.appendBytes("\n\ndata: z\n\n") == "id: 2\n\n\ndata: z\n\n");
    CHECK(Events.lastId() == "2");
  }
  SECTION("finds an end that comes in two parts") {
    CHECK(Events.appendBytes("data: y\n") == "");
    CHECK(Events.appendBytes("\n") == "id: 2\ndata: y\n\n");
    CHECK(Events.incompleteEvent().empty());
    CHECK(Events.appendBytes("\n") == "");
    CHECK(Events.appendBytes("\nid: 3") == "\n\n");
  }
  SECTION("loses and adds no byte, whatever the chunks") {
    rc::prop("chunks join to the original stream", [](const std::string &Bytes,
                                                      unsigned char Step) {
      EventSplitter Splitter;
      std::string Joined;
      std::size_t Size = 1 + Step % 7;
      for (std::size_t At = 0; At < Bytes.size(); At += Size)
        Joined +=
            Splitter.appendBytes(std::string_view(Bytes).substr(At, Size));
      RC_ASSERT(Joined + Splitter.incompleteEvent() == Bytes);
    });
  }
}
