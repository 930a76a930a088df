#include "Serving/StreamEnding.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace anvil;

static StreamEnding endingOf(std::string_view Bytes) {
  StreamEndCheck Check;
  Check.append(Bytes);
  return Check.ending(true);
}

TEST_CASE("the end of a stream of events", "[stream-ending]") {
  SECTION("is complete after a blank line, whatever ends the lines") {
    for (const char *Stream :
         {"data: x\n\n", "data: x\r\n\r\n", "data: x\r\r", ": idle\n\n",
          "data: x\n\r\n", "data: x\r\n\n", "\n"})
      CHECK(endingOf(Stream) == StreamEnding::Complete);
  }
  SECTION("is inside an event before the blank line") {
    for (const char *Stream : {"d", "data: x", "data: x\n", "data: x\r\n",
                               "data: x\r", "data: x\n\nid: 2", "\ndata: x\n"})
      CHECK(endingOf(Stream) == StreamEnding::InsideEvent);
  }
  SECTION("without any byte is complete only if the framing marked it") {
    CHECK(StreamEndCheck().ending(true) == StreamEnding::Empty);
    CHECK(StreamEndCheck().ending(false) == StreamEnding::Complete);
  }
  SECTION("does not depend on how the bytes arrive") {
    rc::prop("pieces of any size give the same ending", [] {
      auto Letters =
          *rc::gen::container<std::string>(rc::gen::element('\n', '\r', 'x'));
      auto Step = *rc::gen::inRange<std::size_t>(1, 6);
      StreamEndCheck Check;
      for (std::size_t At = 0; At < Letters.size(); At += Step)
        Check.append(std::string_view(Letters).substr(At, Step));
      RC_ASSERT(Check.ending(true) == endingOf(Letters));
    });
  }
}
