#include "Standins/ScriptedTarget.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <istream>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

ScriptedTarget::ScriptedTarget(std::string Id)
    : Id_(std::move(Id)), Loop_(1),
      Acceptor_(Loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Thread_([this] { run(); }) {}

ScriptedTarget::~ScriptedTarget() {
  {
    std::lock_guard Lock(Mutex_);
    Stopped_ = true;
  }
  // A connection of its own ends the blocking accept.
  error_code Ignored;
  tcp::socket Waker(Loop_);
  Waker.connect(Acceptor_.local_endpoint(), Ignored);
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

void ScriptedTarget::run() {
  while (true) {
    error_code Cause;
    tcp::socket Caller(Loop_);
    Acceptor_.accept(Caller, Cause);
    {
      std::lock_guard Lock(Mutex_);
      if (Stopped_)
        return;
    }
    if (!Cause)
      serve(std::move(Caller));
  }
}

void ScriptedTarget::serve(tcp::socket Caller) {
  error_code Cause;
  asio::streambuf Buffer;
  asio::read_until(Caller, Buffer, "\r\n\r\n", Cause);
  if (Cause)
    return;
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
  asio::write(Caller, asio::buffer(Bytes), Cause);
  if (Reply.IsReset_) {
    // The caller has the bytes before the reset discards what it hasn't read.
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    Caller.set_option(asio::socket_base::linger(true, 0), Cause);
    Caller.close(Cause);
  }
}

} // namespace anvil
