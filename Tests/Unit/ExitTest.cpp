#include "Unit/PipelineFixture.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace anvil;

TEST_CASE("a request interrupted by a shutdown may outlive its pipeline",
          "[graceful-shutdown]") {
  SECTION("if the program exits while the target processes it") {
    std::string Path = GENERATE("/searches", "/bookings");
    INFO("path " << Path);
    PipelineFixture Fixture;
    REQUIRE(Fixture.IsListening_);
    PersistentCaller Caller(Fixture.Loop_, Fixture.Pipeline_->port());
    Caller.send(Path);
    Fixture.runUntil([&] { return Fixture.Target_.HasRequest_; });
    Fixture.Pipeline_->stop();
    REQUIRE(Fixture.Pipeline_->runningRequests() == 1);
    // The loop still holds the request and destroys it after the pipeline.
    Fixture.Pipeline_.reset();
  }

  SECTION("if other requests were registered") {
    auto Active = std::make_unique<ActiveRequests>();
    int Cancelled = 0;
    auto Cancel = [&] { ++Cancelled; };
    auto Cut = Active->add("acme-1", Cancel);
    auto CutToo = Active->add("acme-2", Cancel);
    {
      auto Ended = Active->add("acme-1", Cancel);
      CHECK(Active->size() == 3);
    }
    CHECK(Active->size() == 2);
    Active.reset();
    CHECK(Cancelled == 0);
  }
}
