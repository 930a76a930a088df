#include "Unit/PipelineStage.h"

#include <catch2/catch.hpp>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("a key that is no longer believed when its request gets a permit",
          "[key-withdrawal]") {
  PipelineStage Stage;
  REQUIRE(Stage.IsListening_);
  bool IsBelieved = true;
  Stage.Pipeline_->admission().onKeyUse(
      [&](const Customer &, TimePoint) -> std::optional<Refusal> {
        if (IsBelieved)
          return std::nullopt;
        return Refusal{RefusalCode::ConfigurationStale, "no evidence",
                       Execution::No, std::nullopt};
      });
  Stage.Permits_->MustWait_ = true;
  KeptCaller Caller(Stage.Loop_, Stage.Pipeline_->port());
  std::string Request = "GET /orders HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer gold\r\n"
                        "Connection: close\r\n\r\n";
  asio::write(Caller.Socket_, asio::buffer(Request));
  Stage.runUntil([&] { return Stage.Permits_->Asked_ > 0; });

  SECTION("sends nothing to the target when the evidence ran out meanwhile") {
    IsBelieved = false;
    Stage.Permits_->Given_.cancel();
    Stage.runUntil([&] {
      return Stage.Target_.HasRequest_ || Stage.Permits_->Released_ > 0;
    });
    CHECK_FALSE(Stage.Target_.HasRequest_);
    // Ends the request where it was sent on.
    Stage.Target_.crash();
    CHECK(Caller.readToEnd().find("configuration_stale") != std::string::npos);
    CHECK(Stage.Ledger_->Recorded_->Ran_ == Execution::No);
  }

  SECTION("is sent on while the evidence lasts") {
    Stage.Permits_->Given_.cancel();
    Stage.runUntil([&] { return Stage.Target_.HasRequest_; });
    Stage.Target_.crash();
    Caller.readToEnd();
    CHECK(Stage.Ledger_->Recorded_->Ran_ == Execution::Unknown);
  }
}
