#include "Standins/UnframedTarget.h"

#include "Http/BoundAddress.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <istream>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

UnframedTarget::UnframedTarget(asio::any_io_executor Executor,
                               UnframedAnswers Answers)
    : Executor_(std::move(Executor)), Answers_(std::move(Answers)),
      Acceptor_(Executor_) {}

Status UnframedTarget::listen(const Endpoint &Address) {
  Status Bound = bindAcceptor(Acceptor_, Address);
  if (!isOk(Bound))
    return Bound;
  Status Listening = listenAt(Acceptor_, Address);
  if (isOk(Listening))
    asio::co_spawn(Executor_, accept(), asio::detached);
  return Listening;
}

std::uint16_t UnframedTarget::port() const {
  return Acceptor_.local_endpoint().port();
}

asio::awaitable<void> UnframedTarget::accept() {
  while (true) {
    error_code Cause;
    tcp::socket Caller = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause)
      co_return;
    asio::co_spawn(Executor_, serve(std::move(Caller)), asio::detached);
  }
}

/// The value of a header line, if it has this name.
static bool readHeader(const std::string &Line, std::string_view Name,
                       std::string &Value) {
  bool IsNamed = Line.size() > Name.size() && Line.starts_with(Name);
  if (IsNamed)
    Value = Line.substr(Name.size(), Line.size() - Name.size() - 1);
  return IsNamed;
}

asio::awaitable<void> UnframedTarget::serve(tcp::socket Caller) {
  error_code Cause;
  asio::streambuf Buffer;
  auto Token = asio::redirect_error(asio::use_awaitable, Cause);
  Caller.set_option(tcp::no_delay(true), Cause);
  while (true) {
    co_await asio::async_read_until(Caller, Buffer, "\r\n\r\n", Token);
    if (Cause)
      co_return;
    std::istream Head(&Buffer);
    std::string First;
    std::string Line;
    std::string RequestId;
    std::string LastEventId = "0";
    std::getline(Head, First);
    while (std::getline(Head, Line) && Line != "\r") {
      readHeader(Line, "X-Request-Id: ", RequestId);
      readHeader(Line, "Last-Event-Id: ", LastEventId);
    }
    if (First.find(" /api/report ") != First.npos) {
      std::string Body = R"({"Models":[{"Name":"base","Version":1,)"
                         R"("Adapters":[]}],"Busy":false,"Seq":0,"Pending":[])";
      if (Answers_.Born_ > 0)
        Body += ",\"born\":" + std::to_string(Answers_.Born_);
      Body += "}";
      std::string Report =
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(Body.size()) +
          "\r\n\r\n" + Body;
      co_await asio::async_write(Caller, asio::buffer(Report), Token);
      continue;
    }
    bool IsStream = First.find(" /stream/") != First.npos;
    std::string Part = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal-of-" +
                       Answers_.Id_ + "\r\nX-Request-Id: " + RequestId +
                       "\r\nConnection: close\r\nContent-Type: " +
                       (IsStream ? "text/event-stream" : "text/plain") +
                       "\r\n\r\n";
    asio::steady_timer Timer(Executor_);
    for (int Number = std::stoi(LastEventId) + 1; Number <= Answers_.Parts_;
         ++Number) {
      std::string Text = "word " + std::to_string(Number) + "\n";
      Part += IsStream
                  ? "id: " + std::to_string(Number) + "\ndata: " + Text + "\n"
                  : Text;
      co_await asio::async_write(Caller, asio::buffer(Part), Token);
      Part.clear();
      Timer.expires_after(std::chrono::milliseconds(Answers_.PartMs_));
      co_await Timer.async_wait(Token);
    }
    if (Answers_.EndsAfterAnswer_)
      std::_Exit(0);
    Caller.close(Cause);
    if (Answers_.StopsAfterAnswer_)
      std::raise(SIGSTOP);
    co_return;
  }
}

} // namespace anvil
