#include "Unit/PipelineFixture.h"

#include <catch2/catch.hpp>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("a key is checked again when its request gets a permit",
          "[key-withdrawal]") {
  PipelineFixture Stage;
  REQUIRE(Stage.IsListening_);
  bool IsAccepted = true;
  Stage.Pipeline_->admission().setKeyFreshnessHook(
      [&](const Customer &, TimePoint) -> std::optional<Refusal> {
        if (IsAccepted)
          return std::nullopt;
        return Refusal{RefusalCode::ConfigurationStale, "no evidence",
                       Execution::No, std::nullopt};
      });
  Stage.Permits_->WaitsForRelease_ = true;
  PersistentCaller Caller(Stage.Loop_, Stage.Pipeline_->port());
  std::string Request = "GET /orders HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer gold\r\n"
                        "Connection: close\r\n\r\n";
  asio::write(Caller.Socket_, asio::buffer(Request));
  Stage.runUntil([&] { return Stage.Permits_->AcquireCalls_ > 0; });

  SECTION("and nothing is sent if the evidence has expired") {
    IsAccepted = false;
    Stage.Permits_->GrantTimer_.cancel();
    Stage.runUntil([&] {
      return Stage.Target_.HasRequest_ || Stage.Permits_->ReleaseCalls_ > 0;
    });
    CHECK_FALSE(Stage.Target_.HasRequest_);
    // Ends the request in case it was sent.
    Stage.Target_.crash();
    CHECK(Caller.readToEnd().find("configuration_stale") != std::string::npos);
    CHECK(Stage.Ledger_->Recorded_->Executed_ == Execution::No);
  }

  SECTION("and the request is sent if the evidence is recent") {
    Stage.Permits_->GrantTimer_.cancel();
    Stage.runUntil([&] { return Stage.Target_.HasRequest_; });
    Stage.Target_.crash();
    Caller.readToEnd();
    CHECK(Stage.Ledger_->Recorded_->Executed_ == Execution::Unknown);
  }
}
