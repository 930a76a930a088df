#include "Unit/PipelineStage.h"

#include <catch2/catch.hpp>

#include <sstream>
#include <string>

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

/// A caller of `/completions`, and the target's part of the talk.
struct StreamTalk {
  explicit StreamTalk(PipelineStage &Stage)
      : Stage_(Stage), Caller_(Stage.Loop_, Stage.Pipeline_->port()) {
    std::string Body = R"({"model":"a@1","prompt":"four","max_tokens":18,)"
                       R"("stream":true})";
    asio::write(Caller_.Socket_,
                asio::buffer("POST /completions HTTP/1.1\r\nHost: x\r\n"
                             "Content-Length: " +
                             std::to_string(Body.size()) + "\r\n\r\n" + Body));
    Stage.runUntil([&] { return Stage.Target_.HasRequest_; });
    const std::string &Asked = Stage.Target_.Text_;
    std::string Name = "X-Request-Id: ";
    auto From = Asked.find(Name) + Name.size();
    std::string Id = Asked.substr(From, Asked.find('\r', From) - From);
    give("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Adapter: a@1\r\n"
         "X-Request-Id: " +
         Id + "\r\n\r\n");
  }

  void give(const std::string &Text) {
    asio::write(Stage_.Target_.Socket_, asio::buffer(Text));
  }

  void giveEvent(const std::string &Data) {
    std::string Event = "data: " + Data + "\n\n";
    std::ostringstream Size;
    Size << std::hex << Event.size();
    give(Size.str() + "\r\n" + Event + "\r\n");
  }

  /// Waits until the caller has read some text.
  void readUntil(const std::string &Text) {
    bool Done = false;
    asio::async_read_until(Caller_.Socket_, asio::dynamic_buffer(Read_), Text,
                           [&](auto, auto) { Done = true; });
    Stage_.runUntil([&] { return Done; });
  }

  PipelineStage &Stage_;
  KeptCaller Caller_;
  std::string Read_;
};

TEST_CASE("a caller that leaves gets back no tokens that may have been used",
          "[rate-limit]") {
  PipelineStage Stage;
  REQUIRE(Stage.IsListening_);
  auto IsSettled = [&] { return Stage.Quota_->Used_.has_value(); };

  SECTION("of a request that a target works on") {
    KeptCaller Caller(Stage.Loop_, Stage.Pipeline_->port());
    Caller.send("/searches");
    Stage.runUntil([&] { return Stage.Target_.HasRequest_; });
    Caller.Socket_.close();
    Stage.runUntil(IsSettled);
    CHECK(Stage.Quota_->Charged_ == 40);
    CHECK(Stage.Quota_->Used_.value() == 40);
  }

  SECTION("of a stream") {
    StreamTalk Talk(Stage);
    Talk.giveEvent(R"({"model":"a@1","text":"one"})");

    SECTION("that goes on") {}

    SECTION("that goes on and has told its use so far") {
      Talk.giveEvent(R"({"model":"a@1","usage":{"total_tokens":6}})");
    }

    Talk.giveEvent(R"({"model":"a@1","text":"last"})");
    Talk.readUntil("last");
    Talk.Caller_.Socket_.close();
    Stage.runUntil(IsSettled);
    CHECK(Stage.Quota_->Charged_ >= 22);
    CHECK(Stage.Quota_->Used_.value() == Stage.Quota_->Charged_);
  }

  SECTION("unless the stream had come whole and told its use") {
    StreamTalk Talk(Stage);
    Talk.giveEvent(R"({"model":"a@1","usage":{"total_tokens":7}})");
    Talk.giveEvent("[DONE]");
    Talk.readUntil("[DONE]");
    Talk.Caller_.Socket_.close();
    Stage.runUntil(IsSettled);
    CHECK(Stage.Quota_->Used_.value() == 7);
  }

  SECTION("unless no target had the request") {
    Stage.Permits_->MustWait_ = true;
    KeptCaller Caller(Stage.Loop_, Stage.Pipeline_->port());
    Caller.send("/searches");
    Stage.runUntil([&] { return Stage.Permits_->Asked_ > 0; });
    Caller.Socket_.close();
    Stage.Loop_.poll();
    Stage.Permits_->Given_.cancel();
    Stage.runUntil(IsSettled);
    CHECK_FALSE(Stage.Target_.HasRequest_);
    CHECK(Stage.Quota_->Used_.value() == 0);
  }
}

TEST_CASE("a whole stream costs what the target says that it used",
          "[rate-limit]") {
  PipelineStage Stage;
  REQUIRE(Stage.IsListening_);
  StreamTalk Talk(Stage);
  bool Tells = GENERATE(true, false);
  INFO("the target " << (Tells ? "tells" : "doesn't tell"));
  if (Tells)
    Talk.giveEvent(R"({"model":"a@1","usage":{"total_tokens":7}})");
  Talk.giveEvent("[DONE]");
  Talk.give("0\r\n\r\n");
  Stage.runUntil([&] { return Stage.Quota_->Used_.has_value(); });
  CHECK(Stage.Quota_->Used_.value() == (Tells ? 7 : Stage.Quota_->Charged_));
}
