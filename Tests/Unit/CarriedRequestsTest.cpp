#include "Http/CarriedRequests.h"

#include <catch2/catch.hpp>

#include <string>

using namespace anvil;

TEST_CASE("an answer is identified only where no earlier one looks like it") {
  CarriedRequests Carried;
  CHECK(Carried.canIdentify("a"));
  CHECK(Carried.canIdentify(""));
  SECTION("a request isn't sent twice on one connection") {
    Carried.recordRequest("a");
    Carried.recordRequest("b");
    CHECK_FALSE(Carried.canIdentify("a"));
    CHECK_FALSE(Carried.canIdentify("b"));
    CHECK(Carried.canIdentify("c"));
    SECTION("and one without an id only on a new one") {
      CHECK_FALSE(Carried.canIdentify(""));
    }
  }
  SECTION("an answer without an id ends the use of its connection") {
    Carried.recordRequest("a");
    Carried.recordUnnamedAnswer();
    CHECK_FALSE(Carried.mayCarryMore());
    CHECK_FALSE(Carried.canIdentify("b"));
  }
  SECTION("so does a request without an id") {
    Carried.recordRequest("");
    CHECK_FALSE(Carried.mayCarryMore());
  }
  SECTION("the memory of a connection is bounded") {
    for (std::size_t Count = 0; Count < CarriedRequests::MaxRequests; ++Count) {
      CHECK(Carried.mayCarryMore());
      Carried.recordRequest(std::to_string(Count));
    }
    CHECK_FALSE(Carried.mayCarryMore());
  }
}
