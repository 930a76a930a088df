#include "Unit/PipelineFixture.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("a target that crashes after the caller left has not replied",
          "[at-most-once]") {
  PipelineFixture Fixture;
  REQUIRE(Fixture.IsListening_);
  PersistentCaller Caller(Fixture.Loop_, Fixture.Pipeline_->port());
  auto HasRequest = [&] { return Fixture.Target_.HasRequest_; };
  auto HasEnded = [&] { return Fixture.Permits_->ReleaseCalls_ > 0; };

  SECTION("if the request may not be repeated") {
    std::string Request = "GET /bookings HTTP/1.1\r\nHost: x\r\n"
                          "Connection: close\r\n\r\n";
    asio::write(Caller.Socket_, asio::buffer(Request));
    Fixture.runUntil(HasRequest);
    bool Disconnects = GENERATE(true, false);
    INFO("the caller " << (Disconnects ? "leaves" : "stays"));
    if (Disconnects) {
      Caller.Socket_.close();
      Fixture.Loop_.poll();
    }
    Fixture.Target_.crash();
    Fixture.runUntil([&] { return Fixture.Ledger_->Recorded_.has_value(); });
    CHECK(Fixture.Ledger_->Recorded_->Executed_ == Execution::Unknown);
    CHECK(Fixture.Selector_->Result_ == AttemptResult::Crashed);
    if (!Disconnects)
      CHECK(Caller.readToEnd().find("\"ran\"") != std::string::npos);
  }

  SECTION("unless this VM cancelled a repeatable request") {
    Caller.send("/searches");
    Fixture.runUntil(HasRequest);
    Caller.Socket_.close();
    Fixture.runUntil(HasEnded);
    CHECK(Fixture.Selector_->Result_ == AttemptResult::Replied);
    CHECK_FALSE(Fixture.Ledger_->Recorded_.has_value());
  }
}

/// A caller of `/completions` with a streamed response, and the target's side
/// of the exchange.
struct StreamSession {
  explicit StreamSession(PipelineFixture &Fixture)
      : Fixture_(Fixture), Caller_(Fixture.Loop_, Fixture.Pipeline_->port()) {
    std::string Body = R"({"model":"a@1","prompt":"four","max_tokens":18,)"
                       R"("stream":true})";
    asio::write(Caller_.Socket_,
                asio::buffer("POST /completions HTTP/1.1\r\nHost: x\r\n"
                             "Content-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body));
    Fixture.runUntil([&] { return Fixture.Target_.HasRequest_; });
    const std::string &Received = Fixture.Target_.Text_;
    std::string Name = "X-Request-Id: ";
    auto From = Received.find(Name) + Name.size();
    std::string Id = Received.substr(From, Received.find('\r', From) - From);
    sendBytes(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Adapter: a@1\r\n"
        "X-Request-Id: " +
        Id + "\r\n\r\n");
  }

  void sendBytes(const std::string &Text) {
    asio::write(Fixture_.Target_.Socket_, asio::buffer(Text));
  }

  void sendEvent(const std::string &Data) {
    std::string Event = "data: " + Data + "\n\n";
    std::ostringstream Size;
    Size << std::hex << Event.size();
    sendBytes(Size.str() + "\r\n" + Event + "\r\n");
  }

  /// Waits until the caller has read the given text.
  void readUntil(const std::string &Text) {
    bool Done = false;
    asio::async_read_until(Caller_.Socket_, asio::dynamic_buffer(Read_), Text,
                           [&](auto, auto) { Done = true; });
    Fixture_.runUntil([&] { return Done; });
  }

  PipelineFixture &Fixture_;
  PersistentCaller Caller_;
  std::string Read_;
};

TEST_CASE("a caller that leaves is refunded no tokens that may have been used",
          "[rate-limit]") {
  PipelineFixture Fixture;
  REQUIRE(Fixture.IsListening_);
  auto IsSettled = [&] { return Fixture.Quota_->Used_.has_value(); };

  SECTION("for a request that a target processes") {
    PersistentCaller Caller(Fixture.Loop_, Fixture.Pipeline_->port());
    Caller.send("/searches");
    Fixture.runUntil([&] { return Fixture.Target_.HasRequest_; });
    Caller.Socket_.close();
    Fixture.runUntil(IsSettled);
    CHECK(Fixture.Quota_->Charged_ == 40);
    CHECK(Fixture.Quota_->Used_.value() == 40);
  }

  SECTION("for a stream") {
    StreamSession Session(Fixture);
    Session.sendEvent(R"({"model":"a@1","text":"one"})");

    SECTION("that is incomplete") {}

    SECTION("that is incomplete and has reported its usage so far") {
      Session.sendEvent(R"({"model":"a@1","usage":{"total_tokens":6}})");
    }

    Session.sendEvent(R"({"model":"a@1","text":"last"})");
    Session.readUntil("last");
    Session.Caller_.Socket_.close();
    Fixture.runUntil(IsSettled);
    CHECK(Fixture.Quota_->Charged_ >= 22);
    CHECK(Fixture.Quota_->Used_.value() == Fixture.Quota_->Charged_);
  }

  SECTION("unless the stream was complete and had reported its usage") {
    StreamSession Session(Fixture);
    Session.sendEvent(R"({"model":"a@1","usage":{"total_tokens":7}})");
    Session.sendEvent("[DONE]");
    Session.readUntil("[DONE]");
    Session.Caller_.Socket_.close();
    Fixture.runUntil(IsSettled);
    CHECK(Fixture.Quota_->Used_.value() == 7);
  }

  SECTION("unless the request was sent to no target") {
    Fixture.Permits_->WaitsForRelease_ = true;
    PersistentCaller Caller(Fixture.Loop_, Fixture.Pipeline_->port());
    Caller.send("/searches");
    Fixture.runUntil([&] { return Fixture.Permits_->AcquireCalls_ > 0; });
    Caller.Socket_.close();
    Fixture.Loop_.poll();
    Fixture.Permits_->GrantTimer_.cancel();
    Fixture.runUntil(IsSettled);
    CHECK_FALSE(Fixture.Target_.HasRequest_);
    CHECK(Fixture.Quota_->Used_.value() == 0);
  }
}

TEST_CASE("a complete stream is charged the usage that the target reports",
          "[rate-limit]") {
  PipelineFixture Fixture;
  REQUIRE(Fixture.IsListening_);
  StreamSession Session(Fixture);
  bool ReportsUsage = GENERATE(true, false);
  INFO("the target " << (ReportsUsage ? "reports" : "doesn't report"));
  if (ReportsUsage)
    Session.sendEvent(R"({"model":"a@1","usage":{"total_tokens":7}})");
  Session.sendEvent("[DONE]");
  Session.sendBytes("0\r\n\r\n");
  Fixture.runUntil([&] { return Fixture.Quota_->Used_.has_value(); });
  CHECK(Fixture.Quota_->Used_.value() ==
        (ReportsUsage ? 7 : Fixture.Quota_->Charged_));
}
