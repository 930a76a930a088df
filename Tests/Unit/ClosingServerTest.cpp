#include "Http/HttpServer.h"

#include "Unit/KeptCaller.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

using namespace anvil;
namespace asio = boost::asio;

/// The ways in which a server closes idle connections.
enum class Closing { Stop, EndedMark };

static void closeIdle(HttpServer &Server, Closing Way) {
  if (Way == Closing::EndedMark) {
    Server.closeTagged([](const std::string &) { return true; });
    return;
  }
  Server.beginDrain();
  Server.close();
}

static std::size_t countAnswers(const std::string &Text) {
  std::size_t Count = 0;
  for (auto Place = Text.find(" 204 "); Place != std::string::npos;
       Place = Text.find(" 204 ", Place + 1))
    ++Count;
  return Count;
}

TEST_CASE("a request that crosses the closing of idle connections is answered",
          "[LOST]") {
  auto Way = GENERATE(Closing::Stop, Closing::EndedMark);
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  std::size_t Handled = 0;
  HttpServer *Own = nullptr;
  HttpServer Server(Loop.get_executor(), {},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      ++Handled;
                      Exchange.tag("mark");
                      if (Exchange.request().path() == "/closes")
                        closeIdle(*Own, Way);
                      HttpReply Reply;
                      Reply.Status_ = 204;
                      co_await Exchange.respond(std::move(Reply));
                    });
  Own = &Server;
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  KeptCaller Caller(Loop, Server.port());
  CHECK(countAnswers(Caller.ask("/first")) == 1);
  Loop.poll();

  SECTION("however far the server got with it") {
    int Turns = GENERATE(range(0, 12));
    INFO("closed " << Turns << " turns of the loop after it was sent");
    Caller.send("/second");
    for (int Turn = 0; Turn < Turns; ++Turn)
      Loop.poll_one();
    closeIdle(Server, Way);
    while (Server.openConnections() > 0)
      Loop.run_one();
    CHECK(Handled == 2);
    CHECK(countAnswers(Caller.readToEnd()) == 1);
  }

  SECTION("when only a part of it has come") {
    std::string Whole = "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::write(Caller.Socket_, asio::buffer(Whole.substr(0, 10)));
    Loop.poll();
    closeIdle(Server, Way);
    Loop.poll();
    asio::write(Caller.Socket_, asio::buffer(Whole.substr(10)));
    CHECK(countAnswers(Caller.readToEnd()) == 1);
  }

  SECTION("when it came together with the one before it") {
    std::string Both = "GET /closes HTTP/1.1\r\nHost: x\r\n\r\n"
                       "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::write(Caller.Socket_, asio::buffer(Both));
    CHECK(countAnswers(Caller.readToEnd()) == 2);
    CHECK(Handled == 3);
  }

  SECTION("and one that was never sent leaves nothing to wait for") {
    closeIdle(Server, Way);
    CHECK(Caller.readToEnd().empty());
    CHECK(Handled == 1);
  }
}

TEST_CASE("a request that crosses the idle limit is answered", "[LOST]") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServerLimits Limits;
  Limits.IdleTime_ = std::chrono::milliseconds(20);
  HttpServer Server(Loop.get_executor(), Limits,
                    [](HttpExchange &Exchange) -> asio::awaitable<void> {
                      HttpReply Reply;
                      Reply.Status_ = 204;
                      co_await Exchange.respond(std::move(Reply));
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  KeptCaller Caller(Loop, Server.port());
  CHECK(countAnswers(Caller.ask("/first")) == 1);
  // The loop finds the request and the end of the limit at the same time.
  std::this_thread::sleep_for(2 * Limits.IdleTime_);
  Caller.send("/second");
  CHECK(countAnswers(Caller.readToEnd()) == 1);
}
