#include "Kernel/BoundedJson.h"

#include <catch2/catch.hpp>

using namespace anvil;

static std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Whole;
  while (Count-- > 0)
    Whole += Text;
  return Whole;
}

// Guards against a small text whose values take all of the memory.
TEST_CASE("JSON from outside is parsed within limits", "[json]") {
  JsonLimits Limits{1000, 4, 20};
  SECTION("and as before if it keeps to them") {
    auto Parsed = parseBounded(R"({"a":[1,"]}[,:\"",{"b":null}]})", Limits);
    REQUIRE(isOk(Parsed));
    CHECK(valueOf(Parsed)["a"].size() == 3);
  }
  SECTION("of its size") {
    std::string Text = '"' + std::string(998, 'x') + '"';
    CHECK(isOk(parseBounded(Text, Limits)));
    CHECK(exceededLimit(Text + " ", Limits) == JsonProblem::TooLong);
  }
  SECTION("of its nesting") {
    CHECK(isOk(parseBounded("[[[[]]]]", Limits)));
    CHECK(exceededLimit("[[[[[]]]]]", Limits) == JsonProblem::TooDeep);
    CHECK(exceededLimit(repeat(R"({"":)", 5), Limits) == JsonProblem::TooDeep);
    CHECK_FALSE(exceededLimit("[[],[],[[]]]", Limits));
  }
  SECTION("of the number of its values") {
    CHECK(isOk(parseBounded("[0" + repeat(",0", 18) + "]", Limits)));
    CHECK(exceededLimit("[0" + repeat(",0", 19) + "]", Limits) ==
          JsonProblem::TooManyValues);
    CHECK(exceededLimit(repeat("{},", 10), Limits) ==
          JsonProblem::TooManyValues);
  }
  SECTION("and the error says why") {
    auto Deep = parseBounded("[[[[[", Limits);
    REQUIRE_FALSE(isOk(Deep));
    CHECK(errorOf(Deep).Code_ == ErrorCode::TooLarge);
    CHECK(errorOf(Deep).Message_ == "nested too deep");
    auto Odd = parseBounded("\"\xff\"", Limits);
    REQUIRE_FALSE(isOk(Odd));
    CHECK(errorOf(Odd).Code_ == ErrorCode::Protocol);
    CHECK(parseOrDiscard("1e400", Limits).is_discarded());
  }
}
