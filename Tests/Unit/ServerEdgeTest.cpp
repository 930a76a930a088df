#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <memory>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("a streamed response to HEAD has no body") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServer Server(Loop.get_executor(), {},
                    [](HttpExchange &Exchange) -> asio::awaitable<void> {
                      Exchange.closeAfterResponse();
                      HttpReplyHead Head;
                      Head.Status_ = 200;
                      co_await Exchange.startStream(std::move(Head));
                      co_await Exchange.finishStream();
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  asio::write(Caller.Socket_,
              asio::buffer(std::string("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n")));
  std::string Response = Caller.readToEnd();
  CHECK(Response.size() == Response.find("\r\n\r\n") + 4);
}

TEST_CASE("a destroyed server doesn't call the malformed-request hook") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  std::size_t Calls = 0;
  auto Server = std::make_unique<HttpServer>(
      Loop.get_executor(), HttpServerLimits{},
      [](HttpExchange &) -> asio::awaitable<void> { co_return; });
  Server->setMalformedHook([&Calls](int Status, std::string_view) {
    ++Calls;
    return respondStatusOnly(Status, {});
  });
  REQUIRE(isOk(Server->listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server->port());
  asio::write(Caller.Socket_, asio::buffer(std::string("GET")));
  Loop.poll();
  REQUIRE(Server->openConnections() == 1);
  Server.reset();
  asio::write(Caller.Socket_, asio::buffer(std::string("\r\n\r\n\r\n")));
  Caller.readToEnd();
  CHECK(Calls == 0);
}

TEST_CASE("an empty line after a request is not taken for another request") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServer Server(Loop.get_executor(), {}, respondNoContent);
  Server.setMalformedHook(respondStatusOnly);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  asio::write(Caller.Socket_, asio::buffer(std::string("GET / HTTP/1.1\r\n"
                                                       "Host: x\r\n\r\n"
                                                       "\r\n")));
  while (Server.openConnections() == 0)
    Loop.run_one();
  Loop.poll();
  Server.beginDrain();
  Server.close();
  CHECK(Caller.readToEnd().find(" 400 ") == std::string::npos);
}
