#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace anvil;
namespace asio = boost::asio;

/// More than the buffers of a connection hold.
static constexpr std::size_t LargeBytes = 32 * 1024 * 1024;

static asio::awaitable<void> respondLarge(HttpExchange &Exchange,
                                          std::optional<bool> &IsSent) {
  std::string Body(LargeBytes, 'x');
  if (Exchange.request().Target_ == "/stream") {
    HttpReplyHead Head;
    Head.Status_ = 200;
    co_await Exchange.startStream(std::move(Head));
    IsSent = co_await Exchange.write(Body);
    co_return;
  }
  HttpReply Reply;
  Reply.Status_ = 200;
  Reply.Body_ = std::move(Body);
  IsSent = co_await Exchange.respond(std::move(Reply));
}

// Guards against FAULT: callers that never read keep responses without limit.
TEST_CASE("a response that its caller does not read is dropped") {
  asio::io_context Loop(1);
  HttpServerLimits Limits;
  Limits.UnreadTime_ = std::chrono::milliseconds(160);
  std::optional<bool> IsSent;
  bool GivesWay = false;
  HttpServer Server(Loop.get_executor(), Limits,
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      auto GiveWay = [&] {
                        if (GivesWay)
                          Exchange.giveWayIfUnread();
                      };
                      Exchange.setUnreadHandler(GiveWay);
                      co_await respondLarge(Exchange, IsSent);
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  Caller.send(GENERATE("/whole", "/stream"));
  auto RunToEnd = [&] {
    TimePoint End = BootClock::now() + std::chrono::seconds(10);
    while (Server.openConnections() > 0 || !IsSent) {
      if (BootClock::now() > End)
        return false;
      Loop.run_one_for(std::chrono::milliseconds(10));
    }
    return true;
  };

  SECTION("after a time") {
    REQUIRE(RunToEnd());
    CHECK(IsSent == false);
  }
  SECTION("at once if it must give way") {
    GivesWay = true;
    REQUIRE(RunToEnd());
    CHECK(IsSent == false);
  }
  SECTION("but not if it is read slowly") {
    std::string Part(1024 * 1024, ' ');
    std::size_t Read = 0;
    while (!IsSent && Read < LargeBytes) {
      Loop.run_for(std::chrono::milliseconds(20));
      boost::system::error_code Cause;
      Read += Caller.Socket_.read_some(asio::buffer(Part), Cause);
      REQUIRE_FALSE(Cause);
    }
    CHECK(IsSent == true);
  }
}
