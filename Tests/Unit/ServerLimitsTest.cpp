#include "Http/HttpServer.h"

#include "Unit/PersistentCaller.h"
#include "Unit/SimpleResponses.h"

#include <catch2/catch.hpp>

#include <memory>
#include <vector>

using namespace anvil;
namespace asio = boost::asio;

static constexpr std::size_t Kilobyte = 1024;

static std::string chunkedHead() {
  return "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
}

static std::string lengthHead(std::size_t Bytes) {
  return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " +
         std::to_string(Bytes) + "\r\n\r\n";
}

static std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Whole;
  for (std::size_t Index = 0; Index < Count; ++Index)
    Whole += Text;
  return Whole;
}

static void send(PersistentCaller &Caller, const std::string &Text) {
  asio::write(Caller.Socket_, asio::buffer(Text));
}

// Guards against LOST: a request without end uses up the memory of a VM.
TEST_CASE("what one request holds is bounded") {
  asio::io_context Loop(1);
  std::size_t Handled = 0;
  HttpServer Server(Loop.get_executor(), {},
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      ++Handled;
                      co_await respondNoContent(Exchange);
                    });
  Server.setMalformedHook(respondStatusOnly);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Caller(Loop, Server.port());
  std::string Long(64 * Kilobyte, 'x');
  auto [Sent, Status] = GENERATE_COPY(table<std::string, std::string>({
      {chunkedHead() + repeat("0", 64 * Kilobyte), " 400 "},
      {chunkedHead() + "5;x=" + Long, " 400 "},
      {chunkedHead() + "0\r\nX-T: " + Long, " 400 "},
      {chunkedHead() + "0\r\n" + repeat("a:b\r\n", 257) + "\r\n", " 431 "},
      {"GET / HTTP/1.1\r\nX-T: " + Long, " 431 "},
      {"GET / HTTP/1.1\r\n" + repeat("a:b\r\n", 257) + "\r\n", " 431 "},
      {lengthHead(std::size_t(1) << 40), " 413 "},
  }));
  INFO(Sent.substr(0, 80));
  send(Caller, Sent);
  CHECK(Caller.readToEnd().find(Status) != std::string::npos);
  CHECK(Handled == 0);
}

// Guards against LOST: many requests together use up the memory of a VM.
TEST_CASE("requests that arrive share a budget") {
  asio::io_context Loop(1);
  HttpServerLimits Limits;
  Limits.Budget_ = std::make_shared<BufferBudget>(1024 * Kilobyte);
  std::vector<std::string> Bodies;
  std::size_t HeldWhileHandled = 0;
  HttpServer Server(Loop.get_executor(), Limits,
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      Bodies.push_back(Exchange.request().Body_);
                      HeldWhileHandled = Limits.Budget_->heldBytes();
                      co_await respondNoContent(Exchange);
                    });
  std::size_t HeldAtReject = 1;
  Server.setMalformedHook([&](int Status, std::string_view Reason) {
    HeldAtReject = Limits.Budget_->heldBytes();
    return respondStatusOnly(Status, Reason);
  });
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  PersistentCaller Large(Loop, Server.port());
  std::string Part(700 * Kilobyte, 'x');

  SECTION("a stated length alone takes no memory") {
    send(Large, lengthHead(8 * 1024 * Kilobyte));
    Loop.run_for(std::chrono::milliseconds(20));
    CHECK(Limits.Budget_->heldBytes() == 0);
  }
  SECTION("a body counts until its request has been answered") {
    std::string Body(100 * Kilobyte, 'y');
    send(Large, lengthHead(Body.size()) + Body);
    while (Bodies.empty())
      Loop.run_one();
    CHECK(Bodies.front() == Body);
    CHECK(HeldWhileHandled >= Body.size());
    while (Server.runningRequests() > 0)
      Loop.run_one();
    CHECK(Limits.Budget_->heldBytes() == 0);
  }
  SECTION("the largest one that is incomplete gives way at once") {
    send(Large, lengthHead(8 * 1024 * Kilobyte) + Part);
    while (Limits.Budget_->heldBytes() < Part.size())
      Loop.run_one();
    PersistentCaller Other(Loop, Server.port());
    std::string Body(400 * Kilobyte, 'y');
    send(Other, lengthHead(Body.size()) + Body);
    CHECK(Large.readToEnd().find(" 503 ") != std::string::npos);
    CHECK(HeldAtReject <= 2 * Body.size());
    while (Bodies.empty())
      Loop.run_one();
    CHECK(Bodies.front() == Body);
  }
  SECTION("one that exceeds it alone is rejected, and later ones are served") {
    std::size_t Bytes = 1200 * Kilobyte;
    send(Large, lengthHead(Bytes) + std::string(Bytes, 'x'));
    CHECK(Large.readToEnd().find(" 503 ") != std::string::npos);
    PersistentCaller Other(Loop, Server.port());
    CHECK(Other.sendAndReceive("/").find(" 204 ") != std::string::npos);
  }
  SECTION("a caller that waits with its first head does not hold it for free") {
    send(Large, "GET / HTTP/1.1\r\nX-T: " + std::string(12 * Kilobyte, 'x'));
    while (Limits.Budget_->heldBytes() < 12 * Kilobyte)
      Loop.run_one();
    CHECK(Limits.Budget_->heldBytes() < 24 * Kilobyte);
  }
}

// Guards against RECOVER: idle callers leave no descriptor for new ones.
TEST_CASE("a new connection displaces another one") {
  asio::io_context Loop(1);
  HttpServerLimits Limits;
  Limits.Connections_ = 3;
  std::size_t Handled = 0;
  HttpServer Server(Loop.get_executor(), Limits,
                    [&](HttpExchange &Exchange) -> asio::awaitable<void> {
                      ++Handled;
                      co_await respondNoContent(Exchange);
                    });
  Server.setMalformedHook(respondStatusOnly);
  REQUIRE(isOk(Server.listen({"127.0.0.1", 0})));
  std::vector<std::unique_ptr<PersistentCaller>> Callers;
  auto Add = [&] {
    Callers.push_back(std::make_unique<PersistentCaller>(Loop, Server.port()));
  };
  auto IsServed = [&](std::size_t Index) {
    return Callers[Index]->sendAndReceive("/").find(" 204 ") !=
           std::string::npos;
  };
  for (std::size_t Index = 0; Index < Limits.Connections_; ++Index) {
    Add();
    REQUIRE(IsServed(Index));
  }
  SECTION("that has been idle longest") {
    REQUIRE(IsServed(0));
    Add();
    CHECK(IsServed(3));
    CHECK(Callers[1]->readToEnd().empty());
    CHECK(IsServed(0));
    CHECK(IsServed(2));
  }
  SECTION("and a request that crosses the close is answered if it runs") {
    int Steps = GENERATE(range(0, 8));
    INFO("after " << Steps << " steps of the server");
    Handled = 0;
    Add();
    for (int Step = 0; Step < Steps; ++Step)
      Loop.poll_one();
    Callers[0]->send("/crossing");
    boost::system::error_code AlreadyClosed;
    Callers[0]->Socket_.shutdown(asio::ip::tcp::socket::shutdown_send,
                                 AlreadyClosed);
    std::string Answer = Callers[0]->readToEnd();
    CHECK(Answer.empty() == (Handled == 0));
    CHECK(IsServed(3));
  }
  SECTION("whose request has been arriving longest if none is idle") {
    for (const auto &Caller : Callers) {
      send(*Caller, "GET / HTTP/1.1\r\n");
      while (Server.runningRequests() < 1)
        Loop.run_one();
      Loop.run_for(std::chrono::milliseconds(5));
    }
    Add();
    CHECK(IsServed(3));
    CHECK(Callers[0]->readToEnd().find(" 503 ") != std::string::npos);
    send(*Callers[1], "Connection: close\r\n\r\n");
    CHECK(Callers[1]->readToEnd().find(" 204 ") != std::string::npos);
  }
}
