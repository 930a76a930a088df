#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <thread>

using namespace anvil;
namespace asio = boost::asio;

/// How the server is made to close idle connections.
enum class CloseMethod { Shutdown, ByTag };

static void closeIdle(HttpServer &Server, CloseMethod Method) {
  if (Method == CloseMethod::ByTag) {
    Server.closeTagged([](const std::string &) { return true; });
    return;
  }
  Server.beginDrain();
  Server.close();
}

static std::size_t countResponses(const std::string &Text) {
  std::size_t Count = 0;
  for (auto Place = Text.find(" 204 "); Place != std::string::npos;
       Place = Text.find(" 204 ", Place + 1))
    ++Count;
  return Count;
}

TEST_CASE("a request sent while idle connections are closed is answered",
          "[LOST]") {
  auto Method = GENERATE(CloseMethod::Shutdown, CloseMethod::ByTag);
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  std::size_t Handled = 0;
  HttpServer *ServerPtr = nullptr;
  HttpServer Server(Loop.get_executor(), {},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      ++Handled;
                      Exchange.tag("mark");
                      if (Exchange.request().path() == "/closes")
                        closeIdle(*ServerPtr, Method);
                      co_await respondNoContent(Exchange);
                    });
  ServerPtr = &Server;
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  CHECK(countResponses(Caller.sendAndReceive("/first")) == 1);
  Loop.poll();

  SECTION("at any stage of its processing") {
    int Turns = GENERATE(range(0, 12));
    INFO("closed " << Turns << " turns of the loop after it was sent");
    Caller.send("/second");
    for (int Turn = 0; Turn < Turns; ++Turn)
      Loop.poll_one();
    closeIdle(Server, Method);
    while (Server.openConnections() > 0)
      Loop.run_one();
    CHECK(Handled == 2);
    CHECK(countResponses(Caller.readToEnd()) == 1);
  }

  SECTION("if only a part of it has arrived") {
    std::string Whole = "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::write(Caller.Socket_, asio::buffer(Whole.substr(0, 10)));
    Loop.poll();
    closeIdle(Server, Method);
    Loop.poll();
    asio::write(Caller.Socket_, asio::buffer(Whole.substr(10)));
    CHECK(countResponses(Caller.readToEnd()) == 1);
  }

  SECTION("if it is pipelined with the previous one") {
    std::string Both = "GET /closes HTTP/1.1\r\nHost: x\r\n\r\n"
                       "GET /second HTTP/1.1\r\nHost: x\r\n\r\n";
    asio::write(Caller.Socket_, asio::buffer(Both));
    CHECK(countResponses(Caller.readToEnd()) == 2);
    CHECK(Handled == 3);
  }

  SECTION("and without a request the connection is closed at once") {
    closeIdle(Server, Method);
    CHECK(Caller.readToEnd().empty());
    CHECK(Handled == 1);
  }
}

TEST_CASE("a request that arrives at the idle limit is answered", "[LOST]") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServerLimits Limits;
  Limits.IdleTime_ = std::chrono::milliseconds(20);
  HttpServer Server(Loop.get_executor(), Limits, respondNoContent);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  CHECK(countResponses(Caller.sendAndReceive("/first")) == 1);
  // The loop finds the request and the expired limit at the same time.
  std::this_thread::sleep_for(2 * Limits.IdleTime_);
  Caller.send("/second");
  CHECK(countResponses(Caller.readToEnd()) == 1);
}

static bool announcesClose(const std::string &Text) {
  return Text.find("Connection: close") != std::string::npos;
}

TEST_CASE("a closing server answers the received requests", "[LOST]") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  std::size_t Handled = 0;
  std::function<void()> InHandler = [] {};
  auto Server = std::make_unique<HttpServer>(
      Loop.get_executor(), HttpServerLimits{},
      [&](HttpExchange &Exchange) -> asio::awaitable<void> {
        ++Handled;
        std::exchange(InHandler, [] {})();
        if (Exchange.request().path() == "/stream") {
          HttpReplyHead Head;
          Head.Status_ = 204;
          co_await Exchange.startStream(std::move(Head));
          for (int Piece = 0; Piece < 64; ++Piece)
            co_await Exchange.write(std::string(100'000, 'x'));
          co_await Exchange.finishStream();
          co_return;
        }
        co_await respondNoContent(Exchange);
      });
  REQUIRE(isOk(Server->listen({"127.0.0.1", 0})));

  SECTION("a request that arrived while the previous one was handled") {
    PersistentCaller Caller(Loop, Server->port());
    InHandler = [&] {
      Caller.send("/second");
      closeIdle(*Server, CloseMethod::Shutdown);
    };
    Caller.send("/first");
    CHECK(countResponses(Caller.readToEnd()) == 2);
    CHECK(Handled == 2);
  }

  SECTION("a request on a new connection, unless it is never read") {
    int Turns = GENERATE(range(0, 12));
    INFO("closed " << Turns << " turns of the loop after it was sent");
    Loop.poll();
    PersistentCaller Caller(Loop, Server->port());
    Caller.send("/first");
    for (int Turn = 0; Turn < Turns; ++Turn)
      Loop.poll_one();
    closeIdle(*Server, CloseMethod::Shutdown);
    CHECK(countResponses(Caller.readToEnd()) == Handled);
    Caller.Socket_.close();
    Loop.poll();
    CHECK(Server->openConnections() == 0);
  }

  SECTION("and doesn't wait for new connections without a request") {
    int Turns = GENERATE(range(0, 6));
    INFO("closed " << Turns << " turns of the loop after it was opened");
    Loop.poll();
    PersistentCaller Caller(Loop, Server->port());
    PersistentCaller Other(Loop, Server->port());
    for (int Turn = 0; Turn < Turns; ++Turn)
      Loop.poll_one();
    closeIdle(*Server, CloseMethod::Shutdown);
    Server->beginDrain();
    Loop.poll();
    CHECK(Server->openConnections() == 0);
  }

  SECTION("with a long response whose caller reads late") {
    PersistentCaller Caller(Loop, Server->port());
    Caller.send("/stream");
    // The server writes until the socket buffers are full.
    while (Handled == 0)
      Loop.run_one();
    Loop.poll();
    closeIdle(*Server, CloseMethod::Shutdown);
    Loop.poll();
    CHECK(Server->openConnections() == 1);
    std::string Response = Caller.readToEnd();
    CHECK(std::count(Response.begin(), Response.end(), 'x') == 64 * 100'000);
    CHECK(Response.ends_with("\r\n0\r\n\r\n"));
  }

  SECTION("and counts the connections it waits for") {
    PersistentCaller Idle(Loop, Server->port());
    PersistentCaller Partial(Loop, Server->port());
    CHECK(countResponses(Idle.sendAndReceive("/first")) == 1);
    asio::write(Partial.Socket_, asio::buffer(std::string("GET /sec")));
    Loop.poll();
    CHECK(Server->runningRequests() == 1);
    Server->beginDrain();
    auto Counts = Server->close();
    CHECK(Counts.BusyCount_ == 1);
    CHECK(Counts.IdleCount_ == 1);
    CHECK(Server->openConnections() == 2);
    CHECK(Idle.readToEnd().empty());
    CHECK(Server->openConnections() == 1);
    asio::write(Partial.Socket_,
                asio::buffer(std::string("ond HTTP/1.1\r\nHost: x\r\n\r\n")));
    CHECK(countResponses(Partial.readToEnd()) == 1);
    Partial.Socket_.close();
    Loop.poll();
    CHECK(Server->openConnections() == 0);
    CHECK(Server->runningRequests() == 0);
  }

  SECTION("after a drain in which responses announce the close") {
    PersistentCaller Early(Loop, Server->port());
    PersistentCaller Streaming(Loop, Server->port());
    CHECK_FALSE(announcesClose(Early.sendAndReceive("/first")));
    Server->beginDrain();
    Loop.poll();
    REQUIRE(announcesClose(Early.sendAndReceive("/second")));
    CHECK(Early.readToEnd().empty());
    PersistentCaller Late(Loop, Server->port());
    REQUIRE(announcesClose(Late.sendAndReceive("/first")));
    CHECK(Late.readToEnd().empty());
    CHECK(announcesClose(Streaming.sendAndReceive("/stream")));
  }

  SECTION("but handles nothing once it is destroyed") {
    PersistentCaller Caller(Loop, Server->port());
    asio::write(Caller.Socket_, asio::buffer(std::string("GET /fir")));
    Loop.poll();
    REQUIRE(Server->openConnections() == 1);
    Server.reset();
    asio::write(Caller.Socket_,
                asio::buffer(std::string("st HTTP/1.1\r\nHost: x\r\n\r\n")));
    CHECK(Caller.readToEnd().empty());
    CHECK(Handled == 0);
  }
}

TEST_CASE("time limits close only waiting connections", "[LOST]") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServerLimits Limits;
  Limits.IdleTime_ = std::chrono::milliseconds(20);
  Limits.HeadTime_ = std::chrono::milliseconds(20);
  asio::steady_timer Pause(Loop);
  HttpServer Server(Loop.get_executor(), Limits,
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      Pause.expires_after(
                          3 * std::max(Limits.IdleTime_, Limits.HeadTime_));
                      co_await Pause.async_wait(asio::use_awaitable);
                      co_await respondNoContent(Exchange);
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());

  SECTION("one without a request") { CHECK(Caller.readToEnd().empty()); }

  SECTION("one with an incomplete request, also on shutdown") {
    bool Stops = GENERATE(false, true);
    asio::write(Caller.Socket_, asio::buffer(std::string("G")));
    Loop.poll();
    if (Stops)
      closeIdle(Server, CloseMethod::Shutdown);
    Caller.readToEnd();
    Loop.poll();
    CHECK(Server.openConnections() == 0);
  }

  SECTION("not one whose request takes longer to handle") {
    std::string Response = Caller.sendAndReceive("/first");
    CHECK(countResponses(Response) == 1);
    CHECK_FALSE(announcesClose(Response));
  }
}

TEST_CASE("a request that arrives as the idle limit expires is answered",
          "[LOST]") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServerLimits Limits;
  Limits.IdleTime_ = std::chrono::milliseconds(20);
  HttpServer Server(Loop.get_executor(), Limits, respondNoContent);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  std::unique_ptr<PersistentCaller> Caller;
  while (Server.openConnections() == 0) {
    Caller = std::make_unique<PersistentCaller>(Loop, Server.port());
    Loop.poll();
  }
  // Both timers expire in one run of the loop; the one that sends comes first.
  asio::steady_timer Before(Loop, asio::steady_timer::time_point::min());
  Before.async_wait([&](auto) { Caller->send("/first"); });
  std::this_thread::sleep_for(2 * Limits.IdleTime_);
  CHECK(countResponses(Caller->readToEnd()) == 1);
}
