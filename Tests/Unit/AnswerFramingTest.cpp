#include "Http/HttpConnection.h"
#include "Http/Spawn.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace anvil;
namespace asio = boost::asio;
using asio::ip::tcp;

/// What a client reads of an answer.
struct FramedAnswer {
  std::optional<std::string> Body_;
  std::optional<ErrorCode> Problem_;
  BodyFraming Framing_ = BodyFraming::None;
  bool IsReusable_ = false;
};

static asio::awaitable<void> ask(std::uint16_t Port, std::string Method,
                                 FramedAnswer &Answer) {
  constexpr Duration Timeout = std::chrono::seconds(10);
  HttpConnection Connection;
  Endpoint Server{"127.0.0.1", Port};
  HttpRequest Request{std::move(Method), "/", {}, ""};
  co_await Connection.open(Server, Timeout);
  ReceiveLimits Limits;
  auto Reply = co_await readReply(Connection, Request,
                                  ReplyTimes::within(Timeout), Limits);
  if (isOk(Reply))
    Answer.Body_ = valueOf(Reply).Body_;
  else
    Answer.Problem_ = errorOf(Reply).Code_;
  Answer.Framing_ = Connection.framing();
  Answer.IsReusable_ = Connection.reusable();
}

/// Sends a client these pieces of an answer, and ends the connection if told.
static FramedAnswer receive(const std::vector<std::string> &Pieces,
                            bool IsEnded = true, std::string Method = "GET") {
  asio::io_context Sockets;
  tcp::acceptor Port(Sockets, {asio::ip::address_v4::loopback(), 0});
  auto Reading = std::async(std::launch::async, [&] {
    asio::io_context Loop;
    FramedAnswer Answer;
    spawn(Loop.get_executor(),
          ask(Port.local_endpoint().port(), std::move(Method), Answer));
    Loop.run();
    return Answer;
  });
  tcp::socket Client = Port.accept();
  Client.set_option(tcp::no_delay(true));
  std::string Request;
  asio::read_until(Client, asio::dynamic_buffer(Request), "\r\n\r\n");
  boost::system::error_code Ignored;
  for (const std::string &Piece : Pieces) {
    asio::write(Client, asio::buffer(Piece), Ignored);
    if (Pieces.size() > 1)
      std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  if (IsEnded)
    Client.close(Ignored);
  return Reading.get();
}

static std::string headWith(const std::string &Lines,
                            const std::string &Status = "HTTP/1.1 200 OK") {
  return Status + "\r\n" + Lines + "\r\n";
}

static const std::string Chunked = "Transfer-Encoding: chunked\r\n";

// Guards against LOST: the parser ends the process over a last chunk in pieces.
TEST_CASE("an answer may arrive in any pieces") {
  auto [Body, Read] = GENERATE(table<std::string, std::string>({
      {"0\r\n\r\n", ""},
      {"0\r\nX-Sum: 1\r\n\r\n", ""},
      {"1\r\na\r\n0\r\n\r\n", "a"},
  }));
  std::string Chunks = Body;
  for (std::size_t First = 0; First <= Chunks.size(); ++First)
    for (std::size_t Second = First; Second <= Chunks.size(); ++Second) {
      FramedAnswer Answer =
          receive({headWith(Chunked), Chunks.substr(0, First),
                   Chunks.substr(First, Second - First), Chunks.substr(Second)},
                  false);
      CHECK(Answer.Body_ == Read);
      CHECK(Answer.IsReusable_);
    }
}

// Guards against MIXED and ORDER: bytes in a coding that isn't known pass for a
// body, and the end of the connection for its end.
TEST_CASE("an answer must show where it ends") {
  SECTION("and is none if it doesn't") {
    std::string Lines = GENERATE(
        as<std::string>(), "Transfer-Encoding: xchunked\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: identity\r\n",
        "Transfer-Encoding: chunked, identity\r\n",
        "Transfer-Encoding: chunked, chunked\r\n", "Transfer-Encoding:\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip\r\nContent-Length: 16\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 16\r\n",
        "Content-Length: 16\r\nContent-Length: 17\r\n",
        "Content-Length: +16\r\n", "Transfer-Encoding:\r\n chunked\r\n",
        "X-Folded: a\r\n b: c\r\n");
    INFO(Lines);
    bool IsEnded = GENERATE(true, false);
    FramedAnswer Answer =
        receive({headWith(Lines) + "6\r\nabcdef\r\n0\r\n\r\n"}, IsEnded);
    CHECK(Answer.Problem_ == ErrorCode::Protocol);
    CHECK_FALSE(Answer.Body_);
    CHECK_FALSE(Answer.IsReusable_);
  }
  SECTION("nor under the earlier version") {
    CHECK(receive({headWith(Chunked, "HTTP/1.0 200 OK") + "0\r\n\r\n"})
              .Problem_ == ErrorCode::Protocol);
  }
  SECTION("nor after an interim answer") {
    FramedAnswer Answer =
        receive({headWith("Link: x\r\n", "HTTP/1.1 103 Hints") +
                 headWith("Transfer-Encoding: gzip\r\n") + "body"});
    CHECK(Answer.Problem_ == ErrorCode::Protocol);
  }
}

TEST_CASE("a sound answer is read as before") {
  SECTION("with each kind of body") {
    auto [Lines, Body, Framing] =
        GENERATE(table<std::string, std::string, BodyFraming>({
            {"Content-Length: 4\r\n", "body", BodyFraming::Length},
            {"Content-Length: 4\r\nContent-Length: 4\r\n", "body",
             BodyFraming::Length},
            {"transfer-encoding: Chunked\r\n",
             "2;x=y\r\nbo\r\n2\r\ndy\r\n0\r\nX-Sum: 1\r\n\r\n",
             BodyFraming::Chunks},
            {"", "body", BodyFraming::UntilClose},
        }));
    INFO(Lines);
    FramedAnswer Answer = receive({headWith(Lines) + Body});
    CHECK(Answer.Body_ == "body");
    CHECK(Answer.Framing_ == Framing);
  }
  SECTION("under the earlier version") {
    for (const char *Lines : {"Content-Length: 4\r\n", ""})
      CHECK(receive({headWith(Lines, "HTTP/1.0 200 OK") + "body"}).Body_ ==
            "body");
  }
  SECTION("without a body, whatever the head says of it") {
    for (const char *Lines :
         {"Transfer-Encoding: gzip\r\n", "Content-Length: 9\r\n"}) {
      for (const char *Status : {"HTTP/1.1 204 None", "HTTP/1.1 304 Same"})
        CHECK(receive({headWith(Lines, Status)}, false).Body_ == "");
      CHECK(receive({headWith(Lines)}, false, "HEAD").Body_ == "");
    }
  }
}
