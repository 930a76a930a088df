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
