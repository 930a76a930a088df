#include "Http/HttpConnection.h"
#include "Http/Spawn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

/// What a client reads of a server's answer.
struct ReadAnswer {
  std::optional<int> Status_;
  std::string Body_;
  std::optional<ErrorCode> Problem_;
  bool IsReusable_ = false;
};

static asio::awaitable<void> fetchFrom(std::uint16_t Port, ReadAnswer &Answer) {
  constexpr Duration Timeout = std::chrono::seconds(10);
  HttpConnection Connection;
  Endpoint Server{"127.0.0.1", Port};
  HttpRequest Request{"GET", "/", {}, ""};
  co_await Connection.open(Server, Timeout);
  ReceiveLimits Limits;
  auto Reply = co_await readReply(Connection, Request,
                                  ReplyTimes::within(Timeout), Limits);
  if (isOk(Reply)) {
    Answer.Status_ = valueOf(Reply).Status_;
    Answer.Body_ = valueOf(Reply).Body_;
  } else {
    Answer.Problem_ = errorOf(Reply).Code_;
  }
  Answer.IsReusable_ = Connection.reusable();
}

/// Sends these bytes to a client as the answer to its request.
static ReadAnswer read(const std::string &Bytes) {
  asio::io_context Sockets;
  tcp::acceptor Port(Sockets, {asio::ip::address_v4::loopback(), 0});
  auto Reading = std::async(std::launch::async, [&] {
    asio::io_context Loop;
    ReadAnswer Answer;
    spawn(Loop.get_executor(), fetchFrom(Port.local_endpoint().port(), Answer));
    Loop.run();
    return Answer;
  });
  tcp::socket Client = Port.accept();
  std::string Request;
  asio::read_until(Client, asio::dynamic_buffer(Request), "\r\n\r\n");
  boost::system::error_code Ignored;
  asio::write(Client, asio::buffer(Bytes), Ignored);
  if (Bytes.size() > 100'000)
    Client.close(Ignored);
  return Reading.get();
}

static std::string answer(const std::string &Status) {
  return "HTTP/1.1 " + Status + "\r\nContent-Length: 4\r\n\r\nbody";
}

// Guards against MIXED: bytes of a server in trouble that reach a caller as an
// answer, since any three digits were taken for a status.
TEST_CASE("only a final status makes an answer") {
  SECTION("of those that there are") {
    for (const char *Status :
         {"200 OK", "204 None", "404 None", "503 Busy", "599 Odd"}) {
      INFO(Status);
      ReadAnswer Answer = read(answer(Status));
      CHECK(Answer.Status_ == std::stoi(Status));
    }
  }
  SECTION("not of others, and the connection isn't used again") {
    for (const char *Status :
         {"000 Odd", "001 Odd", "099 Odd", "101 Switching", "600 Odd",
          "700 Odd", "999 Odd", "20 OK", "2000 OK", "20x OK", "-200 OK"}) {
      INFO(Status);
      ReadAnswer Answer = read(answer(Status));
      CHECK_FALSE(Answer.Status_);
      CHECK(Answer.Problem_ == ErrorCode::Protocol);
      CHECK_FALSE(Answer.IsReusable_);
    }
  }
  SECTION("under the earlier version of the protocol neither") {
    CHECK(read("HTTP/1.0 000 Odd\r\nContent-Length: 4\r\n\r\nbody").Problem_ ==
          ErrorCode::Protocol);
    CHECK(read("HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody").Status_ ==
          200);
  }
  SECTION("after interim ones, which are skipped") {
    for (const char *Status :
         {"100 Continue", "102 Busy", "103 Hints", "199 Odd"}) {
      INFO(Status);
      std::string Interim =
          "HTTP/1.1 " + std::string(Status) + "\r\nX-Server-Seal: s\r\n\r\n";
      ReadAnswer Answer = read(Interim + Interim + answer("200 OK"));
      CHECK(Answer.Status_ == 200);
      CHECK(Answer.Body_ == "body");
      CHECK(Answer.IsReusable_);
    }
  }
  SECTION("but not after interim ones without end") {
    std::string Interim;
    while (Interim.size() < 200'000)
      Interim += "HTTP/1.1 103 Hints\r\nLink: x\r\n\r\n";
    CHECK(read(Interim).Problem_ == ErrorCode::TooLarge);
  }
}
