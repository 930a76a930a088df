#include "Serving/RetryHint.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

TEST_CASE("when refused callers come back", "[refusal][load]") {
  SECTION("is never before there is something to be had") {
    CHECK(retryHint(500ms, 0) == 500ms);
    CHECK(retryHint(500ms, 0.99) < 1s);
  }
  SECTION("is spread, so that an outage's callers don't return together") {
    std::mt19937 Random(5);
    std::uniform_real_distribution<double> Part(0, 1);
    std::map<int, int> ReturnsIn;
    constexpr int Callers = 1000;
    for (int Caller = 0; Caller < Callers; ++Caller)
      ++ReturnsIn[static_cast<int>(retryHint(500ms, Part(Random)) / 50ms)];
    auto Most = std::ranges::max_element(
        ReturnsIn, {}, [](const auto &Entry) { return Entry.second; });
    // In no twentieth of a second more than a quarter of them.
    CHECK(Most->second < Callers / 4);
  }
}
