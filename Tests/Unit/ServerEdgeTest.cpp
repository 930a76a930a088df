#include "Http/HttpServer.h"

#include "Unit/KeptCaller.h"
#include "Unit/PlainAnswers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <catch2/catch.hpp>

#include <memory>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("the answer to HEAD has no body though it is a stream") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServer Server(Loop.get_executor(), {},
                    [](HttpExchange &Exchange) -> asio::awaitable<void> {
                      Exchange.closeAfterwards();
                      HttpReplyHead Head;
                      Head.Status_ = 200;
                      co_await Exchange.startStream(std::move(Head));
                      co_await Exchange.finishStream();
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  KeptCaller Caller(Loop, Server.port());
  asio::write(Caller.Socket_,
              asio::buffer(std::string("HEAD / HTTP/1.1\r\nHost: x\r\n\r\n")));
  std::string Answer = Caller.readToEnd();
  CHECK(Answer.size() == Answer.find("\r\n\r\n") + 4);
}

TEST_CASE("a server that is gone doesn't ask its owner for an answer") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  std::size_t Asked = 0;
  auto Server = std::make_unique<HttpServer>(
      Loop.get_executor(), HttpServerLimits{},
      [](HttpExchange &) -> asio::awaitable<void> { co_return; });
  Server->onMalformed([&Asked](int Status, std::string_view) {
    ++Asked;
    return statusAlone(Status, {});
  });
  REQUIRE(isOk(Server->listen({"127.0.0.1", 0})));
  KeptCaller Caller(Loop, Server->port());
  asio::write(Caller.Socket_, asio::buffer(std::string("GET")));
  Loop.poll();
  REQUIRE(Server->openConnections() == 1);
  Server.reset();
  asio::write(Caller.Socket_, asio::buffer(std::string("\r\n\r\n\r\n")));
  Caller.readToEnd();
  CHECK(Asked == 0);
}

TEST_CASE("an empty line after a request is not taken for the next one") {
  asio::io_context Loop(1);
  auto Work = asio::make_work_guard(Loop);
  HttpServer Server(Loop.get_executor(), {}, answerNoContent);
  Server.onMalformed(statusAlone);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  KeptCaller Caller(Loop, Server.port());
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
