#include "Unit/PipelineStage.h"

#include <catch2/catch.hpp>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("a target that dies after the caller has left gave no answer",
          "[at-most-once]") {
  PipelineStage Stage;
  REQUIRE(Stage.IsListening_);
  KeptCaller Caller(Stage.Loop_, Stage.Pipeline_->port());
  auto HasRequest = [&] { return Stage.Target_.HasRequest_; };
  auto HasEnded = [&] { return Stage.Permits_->Released_ > 0; };

  SECTION("when the request may not be repeated") {
    std::string Request = "GET /bookings HTTP/1.1\r\nHost: x\r\n"
                          "Connection: close\r\n\r\n";
    asio::write(Caller.Socket_, asio::buffer(Request));
    Stage.runUntil(HasRequest);
    bool Leaves = GENERATE(true, false);
    INFO("the caller " << (Leaves ? "leaves" : "stays"));
    if (Leaves) {
      Caller.Socket_.close();
      Stage.Loop_.poll();
    }
    Stage.Target_.crash();
    Stage.runUntil([&] { return Stage.Ledger_->Recorded_.has_value(); });
    CHECK(Stage.Ledger_->Recorded_->Ran_ == Execution::Unknown);
    CHECK(Stage.Selector_->Result_ == TryResult::Crashed);
    if (!Leaves)
      CHECK(Caller.readToEnd().find("\"ran\"") != std::string::npos);
  }

  SECTION("unless this VM ended what may be repeated") {
    Caller.send("/searches");
    Stage.runUntil(HasRequest);
    Caller.Socket_.close();
    Stage.runUntil(HasEnded);
    CHECK(Stage.Selector_->Result_ == TryResult::Answered);
    CHECK_FALSE(Stage.Ledger_->Recorded_.has_value());
  }
}
