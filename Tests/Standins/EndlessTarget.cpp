#include "Standins/EndlessTarget.h"

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

EndlessTarget::EndlessTarget(std::string Id)
    : Id_(std::move(Id)), Loop_(1),
      Acceptor_(Loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Port_(Acceptor_.local_endpoint().port()) {
  asio::co_spawn(Loop_, accept(), asio::detached);
  Thread_ = std::thread([this] { Loop_.run(); });
}

EndlessTarget::~EndlessTarget() {
  Loop_.stop();
  Thread_.join();
}

void EndlessTarget::script(EndlessReply Reply) {
  std::lock_guard Lock(Mutex_);
  Reply_ = std::move(Reply);
}

int EndlessTarget::requestCount() const {
  std::lock_guard Lock(Mutex_);
  return Requests_;
}

asio::awaitable<void> EndlessTarget::accept() {
  while (true) {
    error_code Cause;
    tcp::socket Caller = co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause)
      co_return;
    asio::co_spawn(Loop_, serve(std::move(Caller)), asio::detached);
  }
}

asio::awaitable<void> EndlessTarget::serve(tcp::socket Caller) {
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
  std::string Target = Line;
  bool IsReport = Line.find(" /api/report ") != std::string::npos;
  while (std::getline(Head, Line) && Line != "\r") {
    constexpr std::string_view Name = "X-Request-Id: ";
    if (Line.starts_with(Name))
      RequestId = Line.substr(Name.size(), Line.size() - Name.size() - 1);
  }
  EndlessReply Reply;
  if (IsReport) {
    Reply.Start_ = R"({"Models":[{"Name":"base","Version":1,"Adapters":[]}],)"
                   R"("Busy":false,"Seq":0,"Pending":[]})";
    Reply.HeadLines_ =
        "Content-Length: " + std::to_string(Reply.Start_.size()) + "\r\n";
  } else {
    std::lock_guard Lock(Mutex_);
    ++Requests_;
    Reply = Reply_;
    if (Reply.Compose_)
      Reply.Start_ = Reply_.Compose_(Target);
  }
  if (Reply.IsForeign_)
    RequestId = "of-another";
  std::string Bytes = "HTTP/1.1 200 OK\r\nX-Server-Seal: seal-of-" + Id_ +
                      "\r\nX-Request-Id: " + RequestId + "\r\n" +
                      Reply.HeadLines_ + (Reply.HeadEnds_ ? "\r\n" : "") +
                      Reply.Start_;
  do {
    co_await asio::async_write(
        Caller, asio::buffer(Bytes),
        asio::redirect_error(asio::use_awaitable, Cause));
    Bytes = Reply.Repeated_;
    if (Reply.Pause_.count() > 0) {
      asio::steady_timer Timer(Loop_, Reply.Pause_);
      co_await Timer.async_wait(
          asio::redirect_error(asio::use_awaitable, Cause));
    }
  } while (!Cause && !Bytes.empty());
  if (Reply.IsHeld_)
    co_await Caller.async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, Cause));
}

} // namespace anvil
