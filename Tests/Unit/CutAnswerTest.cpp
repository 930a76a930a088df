#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <memory>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("an incomplete request is answered with 408 at the time limit") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServerLimits Limits;
  Limits.HeadTime_ = std::chrono::milliseconds(20);
  HttpServer Server(Loop.get_executor(), Limits,
                    [](HttpExchange &) -> asio::awaitable<void> { co_return; });
  Server.setMalformedHook(respondStatusOnly);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  asio::write(Caller.Socket_, asio::buffer(std::string("GET /fir")));
  CHECK(Caller.readToEnd().find(" 408 ") != std::string::npos);
}

TEST_CASE(
    "a response that announces the close arrives whole even if the caller "
    "sends more") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  std::unique_ptr<PersistentCaller> Caller;
  HttpServer Server(Loop.get_executor(), {},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      HttpReplyHead Head;
                      Head.Status_ = 200;
                      co_await Exchange.startStream(std::move(Head));
                      Caller->send("/second");
                      for (int Piece = 0; Piece < 64; ++Piece)
                        co_await Exchange.write(std::string(1000, 'x'));
                      co_await Exchange.finishStream();
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  Server.beginDrain();
  Caller = std::make_unique<PersistentCaller>(Loop, Server.port());
  Caller->Socket_.set_option(asio::socket_base::receive_buffer_size(4096));
  Caller->send("/first");
  // The caller reads only after the server has written everything and closed.
  while (Server.openConnections() == 0)
    Loop.run_one();
  Loop.poll();
  CHECK(Caller->readToEnd().ends_with("\r\n0\r\n\r\n"));
}
