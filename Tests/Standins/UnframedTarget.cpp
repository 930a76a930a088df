#include "Standins/UnframedTarget.h"

#include "Http/Pause.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
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

UnframedTarget::UnframedTarget(const asio::any_io_executor &Executor,
                               UnframedAnswers Answers)
    : Answers_(std::move(Answers)),
      Listener_(Executor, [this](tcp::socket Caller) {
        return serve(std::move(Caller));
      }) {}

/// Takes the value of a header line, if it has this name.
static void readHeader(const std::string &Line, std::string_view Name,
                       std::string &Value) {
  if (Line.size() > Name.size() && Line.starts_with(Name))
    Value = Line.substr(Name.size(), Line.size() - Name.size() - 1);
}

asio::awaitable<void> UnframedTarget::serve(tcp::socket Caller) {
  error_code Cause;
  asio::streambuf Buffer;
  auto Token = asio::redirect_error(asio::use_awaitable, Cause);
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
    if (First.find("/busy ") != First.npos) {
      std::string Busy =
          "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: " +
          RequestId + "\r\nRetry-After: 4\r\nContent-Length: 0\r\n\r\n";
      co_await asio::async_write(Caller, asio::buffer(Busy), Token);
      continue;
    }
    bool IsStream = First.find(" /stream/") != First.npos;
    std::string Part = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal-of-" +
                       Answers_.Id_ + "\r\nX-Request-Id: " + RequestId +
                       "\r\nConnection: close\r\nContent-Type: " +
                       (IsStream ? "text/event-stream" : "text/plain") +
                       "\r\n\r\n";
    for (int Number = std::stoi(LastEventId) + 1; Number <= Answers_.Parts_;
         ++Number) {
      std::string Text = "word " + std::to_string(Number) + "\n";
      Part += IsStream
                  ? "id: " + std::to_string(Number) + "\ndata: " + Text + "\n"
                  : Text;
      co_await asio::async_write(Caller, asio::buffer(Part), Token);
      Part.clear();
      co_await pauseFor(std::chrono::milliseconds(Answers_.PartMs_));
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
