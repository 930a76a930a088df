#include "Serving/StopSchedule.h"

#include <catch2/catch.hpp>

using namespace anvil;
using namespace std::chrono_literals;

TEST_CASE("the steps of a planned stop", "[stop]") {
  StopSchedule Steps(8s);
  // Guards against LOST: a VM that notices the request to stop late takes a
  // request that was sent more than 3 s after it and cuts that at the end.
  SECTION("refuse long requests well before a cut is no longer excused") {
    CHECK(Steps.refuseLong() + 500ms <= 3s);
  }
  SECTION("take new connections until the balancer has noticed") {
    CHECK(Steps.refuseLong() >= 2s);
    CHECK(Steps.idleClose() >= 3s);
  }
  SECTION("end requests in the last sixth of the grace period") {
    CHECK(Steps.finalReplies() >= 8s * 5 / 6);
    CHECK(Steps.finalReplies() + StopSchedule::FinalReplyTime < 8s);
  }
  SECTION("keep their order in a short grace period") {
    StopSchedule Short(1500ms);
    CHECK(Duration::zero() < Short.refuseLong());
    CHECK(Short.refuseLong() < Short.idleClose());
    CHECK(Short.idleClose() < Short.finalReplies());
  }
}
