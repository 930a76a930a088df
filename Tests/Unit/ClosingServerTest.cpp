#include "Http/HttpServer.h"

#include "Unit/KeptCaller.h"
#include "Unit/PlainAnswers.h"

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
                      co_await answerNoContent(Exchange);
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
  HttpServer Server(Loop.get_executor(), Limits, answerNoContent);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  KeptCaller Caller(Loop, Server.port());
  CHECK(countAnswers(Caller.ask("/first")) == 1);
  // The loop finds the request and the end of the limit at the same time.
  std::this_thread::sleep_for(2 * Limits.IdleTime_);
  Caller.send("/second");
  CHECK(countAnswers(Caller.readToEnd()) == 1);
}

static bool announcesClose(const std::string &Text) {
  return Text.find("Connection: close") != std::string::npos;
}

TEST_CASE("a closing server answers what has come and then ends", "[LOST]") {
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
        co_await answerNoContent(Exchange);
      });
  REQUIRE(isOk(Server->listen({"127.0.0.1", 0})));

  SECTION("a request that came while the one before it was handled") {
    KeptCaller Caller(Loop, Server->port());
    InHandler = [&] {
      Caller.send("/second");
      closeIdle(*Server, Closing::Stop);
    };
    Caller.send("/first");
    CHECK(countAnswers(Caller.readToEnd()) == 2);
    CHECK(Handled == 2);
  }

  SECTION("a request on a new connection, or not even reads it") {
    int Turns = GENERATE(range(0, 12));
    INFO("closed " << Turns << " turns of the loop after it was sent");
    Loop.poll();
    KeptCaller Caller(Loop, Server->port());
    Caller.send("/first");
    for (int Turn = 0; Turn < Turns; ++Turn)
      Loop.poll_one();
    closeIdle(*Server, Closing::Stop);
    CHECK(countAnswers(Caller.readToEnd()) == Handled);
    Caller.Socket_.close();
    Loop.poll();
    CHECK(Server->openConnections() == 0);
  }

  SECTION("and doesn't wait on new connections without a request") {
    int Turns = GENERATE(range(0, 6));
    INFO("closed " << Turns << " turns of the loop after it was opened");
    Loop.poll();
    KeptCaller Caller(Loop, Server->port());
    KeptCaller Other(Loop, Server->port());
    for (int Turn = 0; Turn < Turns; ++Turn)
      Loop.poll_one();
    closeIdle(*Server, Closing::Stop);
    Server->beginDrain();
    Loop.poll();
    CHECK(Server->openConnections() == 0);
  }

  SECTION("a long answer whose caller reads late") {
    KeptCaller Caller(Loop, Server->port());
    Caller.send("/stream");
    // The server writes until nothing more fits.
    while (Handled == 0)
      Loop.run_one();
    Loop.poll();
    closeIdle(*Server, Closing::Stop);
    Loop.poll();
    CHECK(Server->openConnections() == 1);
    std::string Answer = Caller.readToEnd();
    CHECK(std::count(Answer.begin(), Answer.end(), 'x') == 64 * 100'000);
    CHECK(Answer.ends_with("\r\n0\r\n\r\n"));
  }

  SECTION("and counts what it waits for") {
    KeptCaller Idle(Loop, Server->port());
    KeptCaller Partial(Loop, Server->port());
    CHECK(countAnswers(Idle.ask("/first")) == 1);
    asio::write(Partial.Socket_, asio::buffer(std::string("GET /sec")));
    Loop.poll();
    CHECK(Server->runningRequests() == 1);
    Server->beginDrain();
    auto Counts = Server->close();
    CHECK(Counts.Kept_ == 1);
    CHECK(Counts.Closed_ == 1);
    CHECK(Server->openConnections() == 2);
    CHECK(Idle.readToEnd().empty());
    CHECK(Server->openConnections() == 1);
    asio::write(Partial.Socket_,
                asio::buffer(std::string("ond HTTP/1.1\r\nHost: x\r\n\r\n")));
    CHECK(countAnswers(Partial.readToEnd()) == 1);
    Partial.Socket_.close();
    Loop.poll();
    CHECK(Server->openConnections() == 0);
    CHECK(Server->runningRequests() == 0);
  }

  SECTION("after a drain in which answers announce the close") {
    KeptCaller Early(Loop, Server->port());
    KeptCaller Streaming(Loop, Server->port());
    CHECK_FALSE(announcesClose(Early.ask("/first")));
    Server->beginDrain();
    Loop.poll();
    REQUIRE(announcesClose(Early.ask("/second")));
    CHECK(Early.readToEnd().empty());
    KeptCaller Late(Loop, Server->port());
    REQUIRE(announcesClose(Late.ask("/first")));
    CHECK(Late.readToEnd().empty());
    CHECK(announcesClose(Streaming.ask("/stream")));
  }

  SECTION("but handles nothing once it is gone") {
    KeptCaller Caller(Loop, Server->port());
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

TEST_CASE("limits end a connection that waits and no other", "[LOST]") {
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
                      co_await answerNoContent(Exchange);
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  KeptCaller Caller(Loop, Server.port());

  SECTION("one without a request") { CHECK(Caller.readToEnd().empty()); }

  SECTION("one whose request stays a part, in a stop as well") {
    bool Stops = GENERATE(false, true);
    asio::write(Caller.Socket_, asio::buffer(std::string("G")));
    Loop.poll();
    if (Stops)
      closeIdle(Server, Closing::Stop);
    Caller.readToEnd();
    Loop.poll();
    CHECK(Server.openConnections() == 0);
  }

  SECTION("not one whose request takes longer") {
    std::string Answer = Caller.ask("/first");
    CHECK(countAnswers(Answer) == 1);
    CHECK_FALSE(announcesClose(Answer));
  }
}

TEST_CASE("a request that comes as the idle limit has run out is answered",
          "[LOST]") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServerLimits Limits;
  Limits.IdleTime_ = std::chrono::milliseconds(20);
  HttpServer Server(Loop.get_executor(), Limits, answerNoContent);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  std::unique_ptr<KeptCaller> Caller;
  while (Server.openConnections() == 0) {
    Caller = std::make_unique<KeptCaller>(Loop, Server.port());
    Loop.poll();
  }
  // Both timers are due in one turn, the one that sends before the limit's.
  asio::steady_timer Before(Loop, asio::steady_timer::time_point::min());
  Before.async_wait([&](auto) { Caller->send("/first"); });
  std::this_thread::sleep_for(2 * Limits.IdleTime_);
  CHECK(countAnswers(Caller->readToEnd()) == 1);
}
