#include "Unit/PipelineFixture.h"

#include <catch2/catch.hpp>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("a key is checked again when its request gets a permit",
          "[key-withdrawal]") {
  PipelineFixture Fixture;
  REQUIRE(Fixture.IsListening_);
  bool IsAccepted = true;
  Fixture.Pipeline_->admission().setKeyFreshnessHook(
      [&](const Customer &, TimePoint) -> std::optional<Refusal> {
        if (IsAccepted)
          return std::nullopt;
        return Refusal{RefusalCode::ConfigurationStale, "no evidence",
                       Execution::No, std::nullopt};
      });
  Fixture.Permits_->WaitsForRelease_ = true;
  PersistentCaller Caller(Fixture.Loop_, Fixture.Pipeline_->port());
  std::string Request = "GET /orders HTTP/1.1\r\nHost: x\r\n"
                        "Authorization: Bearer gold\r\n"
                        "Connection: close\r\n\r\n";
  asio::write(Caller.Socket_, asio::buffer(Request));
  Fixture.runUntil([&] { return Fixture.Permits_->AcquireCalls_ > 0; });

  SECTION("and nothing is sent if the evidence has expired") {
    IsAccepted = false;
    Fixture.Permits_->GrantTimer_.cancel();
    Fixture.runUntil([&] {
      return Fixture.Target_.HasRequest_ || Fixture.Permits_->ReleaseCalls_ > 0;
    });
    CHECK_FALSE(Fixture.Target_.HasRequest_);
    // Ends the request in case it was sent.
    Fixture.Target_.crash();
    CHECK(Caller.readToEnd().find("configuration_stale") != std::string::npos);
    CHECK(Fixture.Ledger_->Recorded_->Executed_ == Execution::No);
  }

  SECTION("and the request is sent if the evidence is recent") {
    Fixture.Permits_->GrantTimer_.cancel();
    Fixture.runUntil([&] { return Fixture.Target_.HasRequest_; });
    Fixture.Target_.crash();
    Caller.readToEnd();
    CHECK(Fixture.Ledger_->Recorded_->Executed_ == Execution::Unknown);
  }
}
