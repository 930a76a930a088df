#include "Standins/ScriptedTarget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <istream>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

ScriptedTarget::ScriptedTarget(std::string Id, std::uint16_t Port)
    : Id_(std::move(Id)), Loop_(1),
      Acceptor_(Loop_, tcp::endpoint(asio::ip::address_v4::loopback(), Port)),
      Port_(Acceptor_.local_endpoint().port()) {
  asio::co_spawn(Loop_, accept(), asio::detached);
  Thread_ = std::thread([this] { Loop_.run(); });
}

ScriptedTarget::~ScriptedTarget() {
  Loop_.stop();
  Thread_.join();
}

void ScriptedTarget::script(std::deque<ScriptedReply> Replies) {
  std::lock_guard Lock(Mutex_);
  Replies_ = std::move(Replies);
}

int ScriptedTarget::requestCount() const {
  std::lock_guard Lock(Mutex_);
  return Requests_;
}

ScriptedReply ScriptedTarget::nextReply() {
  std::lock_guard Lock(Mutex_);
  ++Requests_;
  if (Replies_.empty())
    return {};
  ScriptedReply Reply = Replies_.front();
  if (Replies_.size() > 1)
    Replies_.pop_front();
  return Reply;
}

asio::awaitable<void> ScriptedTarget::accept() {
  while (true) {
    error_code Cause;
    tcp::socket Caller = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause)
      co_return;
    asio::co_spawn(Loop_, serve(std::move(Caller)), asio::detached);
  }
}

asio::awaitable<void> ScriptedTarget::serve(tcp::socket Caller) {
  error_code Cause;
  asio::streambuf Buffer;
  co_await asio::async_read_until(
      Caller, Buffer, "\r\n\r\n",
      asio::redirect_error(asio::use_awaitable, Cause));
  if (Cause)
    co_return;
  std::istream Head(&Buffer);
  std::string Line;
  std::string RequestId;
  std::getline(Head, Line);
  bool IsReport = Line.find(" /api/report ") != std::string::npos;
  while (std::getline(Head, Line) && Line != "\r") {
    constexpr std::string_view Name = "X-Request-Id: ";
    if (Line.starts_with(Name))
      RequestId = Line.substr(Name.size(), Line.size() - Name.size() - 1);
  }
  ScriptedReply Reply;
  if (IsReport) {
    Reply.Body_ = R"({"Models":[{"Name":"base","Version":1,"Adapters":[]}],)"
                  R"("Busy":false,"Seq":0,"Pending":[]})";
    Reply.HeadLines_ =
        "Content-Length: " + std::to_string(Reply.Body_.size()) + "\r\n";
  } else {
    Reply = nextReply();
  }
  std::string Bytes =
      "HTTP/1.1 " + Reply.Status_ + "\r\nX-Server-Seal: seal-of-" + Id_ +
      "\r\nX-Request-Id: " + RequestId + "\r\n" + Reply.HeadLines_ + "\r\n";
  int Sent = Reply.SentBytes_.value_or(0);
  std::size_t HeadSize = Bytes.size();
  Bytes += Reply.Body_;
  if (Reply.SentBytes_)
    Bytes.resize(static_cast<std::size_t>(Sent) + (Sent < 0 ? HeadSize : 0));
  co_await asio::async_write(Caller, asio::buffer(Bytes),
                             asio::redirect_error(asio::use_awaitable, Cause));
  if (Reply.IsReset_) {
    // The caller has the bytes before the reset discards what it hasn't read.
    asio::steady_timer Timer(Loop_, std::chrono::milliseconds(50));
    co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Cause));
    Caller.set_option(asio::socket_base::linger(true, 0), Cause);
    Caller.close(Cause);
  }
}

} // namespace anvil
