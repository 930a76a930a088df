#include "Serving/RetryAfter.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>

using namespace anvil;
using namespace std::chrono_literals;

TEST_CASE("the retry time of refused callers", "[refusal][load]") {
  SECTION("is never before the expected wait has passed") {
    CHECK(retryAfter(500ms, 0) == 500ms);
    CHECK(retryAfter(500ms, 0.99) < 1s);
  }
  SECTION(
      "is spread, so that the callers of an outage do not return together") {
    std::mt19937 Random(5);
    std::uniform_real_distribution<double> Uniform(0, 1);
    std::map<int, int> RetriesByInterval;
    constexpr int Callers = 1000;
    for (int Caller = 0; Caller < Callers; ++Caller)
      ++RetriesByInterval[static_cast<int>(retryAfter(500ms, Uniform(Random)) /
                                           50ms)];
    auto Most = std::ranges::max_element(
        RetriesByInterval, {}, [](const auto &Entry) { return Entry.second; });
    // At most a quarter of them return in any twentieth of a second.
    CHECK(Most->second < Callers / 4);
  }
}

/// Requests that are sent again at once give up while a burst still fills all
/// targets, though their callers would wait for seconds.
TEST_CASE("a refused request waits longer each time", "[retry-after][load]") {
  SECTION("so that it outlasts an overload of half its latency target") {
    Duration Sum{};
    for (int Refusals = 1; Refusals <= 3; ++Refusals)
      Sum += refusedSendPause(Refusals, 300ms, 4s);
    CHECK(Sum >= 150ms);
    CHECK(Sum < 300ms);
  }
  SECTION("but keeps most of the time that is left") {
    CHECK(refusedSendPause(5, 300ms, 400ms) == 100ms);
  }
  SECTION("and at least a moment, since the target is full") {
    CHECK(refusedSendPause(1, 100ms, 1500ms) == 25ms);
    CHECK(refusedSendPause(2, 100ms, 0ms) == 25ms);
  }
}
