#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <catch2/catch.hpp>

#include <chrono>

#include <string>

using namespace anvil;
namespace asio = boost::asio;

TEST_CASE("closing tagged connections") {
  asio::io_context Loop(1);
  HttpServer *ServerPtr = nullptr;
  auto IsGold = [](const std::string &Tag) { return Tag == "/gold"; };
  HttpServer Server(Loop.get_executor(), {},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      Exchange.tag(std::string(Exchange.request().path()));
                      if (Exchange.request().query("end") == "1")
                        ServerPtr->closeTagged(IsGold);
                      co_await respondNoContent(Exchange);
                    });
  ServerPtr = &Server;
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Gold(Loop, Server.port());
  PersistentCaller Lead(Loop, Server.port());
  CHECK(Gold.sendAndReceive("/gold").find(" 204 ") != std::string::npos);
  CHECK(Lead.sendAndReceive("/lead").find(" 204 ") != std::string::npos);
  SECTION("closes an idle one at once and leaves others open") {
    Server.closeTagged(IsGold);
    CHECK(Gold.readToEnd().empty());
    CHECK(Lead.sendAndReceive("/lead").find(" 204 ") != std::string::npos);
  }
  SECTION("closes one with a running request after its response") {
    std::string Response = Gold.sendAndReceive("/gold?end=1");
    CHECK(Response.find(" 204 ") != std::string::npos);
    CHECK(Response.find("Connection: close") != std::string::npos);
    CHECK(Gold.readToEnd().empty());
  }
}

TEST_CASE("a request that arrives too slowly is rejected with 408") {
  asio::io_context Loop(1);
  HttpServerLimits Limits;
  Limits.HeadTime_ = std::chrono::milliseconds(20);
  HttpServer Server(Loop.get_executor(), Limits,
                    [](HttpExchange &) -> asio::awaitable<void> { co_return; });
  Server.setMalformedHook([](int Status, std::string_view Reason) {
    return HttpReply{Status, {}, std::string(Reason)};
  });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  asio::write(Caller.Socket_, asio::buffer(std::string("GET /slow HTT")));
  CHECK(Caller.readToEnd().find(" 408 ") != std::string::npos);
}

TEST_CASE("the time limit for the head doesn't apply to the body") {
  asio::io_context Loop(1);
  HttpServerLimits Limits;
  Limits.HeadTime_ = std::chrono::milliseconds(20);
  HttpServer Server(Loop.get_executor(), Limits,
                    [](HttpExchange &Exchange) -> asio::awaitable<void> {
                      HttpReply Reply;
                      Reply.Status_ = 200;
                      Reply.Body_ = Exchange.request().Body_;
                      co_await Exchange.respond(std::move(Reply));
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  asio::write(Caller.Socket_,
              asio::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\n"
                                       "Connection: close\r\n"
                                       "Content-Length: 8\r\n\r\nfour")));
  Loop.run_for(3 * std::chrono::milliseconds(20));
  asio::write(Caller.Socket_, asio::buffer(std::string("more")));
  CHECK(Caller.readToEnd().ends_with("fourmore"));
}

// Guards against MIXED: the head of an error in the middle of a stream.
TEST_CASE("a second response to a request closes the connection instead") {
  asio::io_context Loop(1);
  HttpServer Server(Loop.get_executor(), {},
                    [](HttpExchange &Exchange) -> asio::awaitable<void> {
                      HttpReplyHead Head;
                      co_await Exchange.startStream(std::move(Head));
                      co_await Exchange.write("first");
                      HttpReply Error{502, {}, "second"};
                      bool IsSent = co_await Exchange.respond(std::move(Error));
                      CHECK_FALSE(IsSent);
                    });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  Caller.send("/stream");
  std::string Received = Caller.readToEnd();
  CHECK(Received.ends_with("5\r\nfirst\r\n"));
  CHECK(Received.find("502") == std::string::npos);
}
