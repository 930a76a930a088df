#include "Http/HttpServer.h"

#include "Http/Spawn.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

/// A caller that keeps its connection to a server in the same loop.
struct KeptCaller {
  KeptCaller(asio::io_context &Loop, std::uint16_t Port)
      : Loop_(Loop), Socket_(Loop) {
    Socket_.connect({asio::ip::make_address("127.0.0.1"), Port});
  }

  /// Sends a request and reads its whole answer.
  std::string ask(const std::string &Path) {
    asio::write(Socket_,
                asio::buffer("GET " + Path + " HTTP/1.1\r\nHost: x\r\n\r\n"));
    std::string Answer;
    bool Done = false;
    asio::async_read_until(Socket_, asio::dynamic_buffer(Answer), "\r\n\r\n",
                           [&](auto, auto) { Done = true; });
    while (!Done)
      Loop_.run_one();
    return Answer;
  }

  /// Reads until the server closes; what came before.
  std::size_t readToEnd() {
    char Byte = 0;
    std::size_t Read = 0;
    bool Done = false;
    Socket_.async_read_some(asio::buffer(&Byte, 1), [&](auto, auto Count) {
      Read = Count;
      Done = true;
    });
    while (!Done)
      Loop_.run_one();
    return Read;
  }

  asio::io_context &Loop_;
  tcp::socket Socket_;
};

TEST_CASE("connections that carry a mark") {
  asio::io_context Loop(1);
  HttpServer *Own = nullptr;
  auto IsGold = [](const std::string &Mark) { return Mark == "/gold"; };
  HttpServer Server(Loop.get_executor(), {},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      Exchange.tag(std::string(Exchange.request().path()));
                      if (Exchange.request().query("end") == "1")
                        Own->closeTagged(IsGold);
                      HttpReply Reply;
                      Reply.Status_ = 204;
                      co_await Exchange.respond(std::move(Reply));
                    });
  Own = &Server;
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  KeptCaller Gold(Loop, Server.port());
  KeptCaller Lead(Loop, Server.port());
  CHECK(Gold.ask("/gold").find(" 204 ") != std::string::npos);
  CHECK(Lead.ask("/lead").find(" 204 ") != std::string::npos);
  SECTION("an idle one is closed at once and others stay") {
    Server.closeTagged(IsGold);
    CHECK(Gold.readToEnd() == 0);
    CHECK(Lead.ask("/lead").find(" 204 ") != std::string::npos);
  }
  SECTION("one with a running request gets its answer first") {
    std::string Answer = Gold.ask("/gold?end=1");
    CHECK(Answer.find(" 204 ") != std::string::npos);
    CHECK(Answer.find("Connection: close") != std::string::npos);
    CHECK(Gold.readToEnd() == 0);
  }
}
