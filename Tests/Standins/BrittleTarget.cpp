#include "Standins/BrittleTarget.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// The time in which rejections count together.
static constexpr std::chrono::seconds RejectionWindow{1};

BrittleTarget::BrittleTarget(std::string Id, BrittleTargetPlan Plan)
    : Id_(std::move(Id)), Plan_(Plan), Loop_(1),
      Acceptor_(Loop_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      Port_(Acceptor_.local_endpoint().port()) {
  asio::co_spawn(Loop_, accept(), asio::detached);
  Thread_ = std::thread([this] { Loop_.run(); });
}

BrittleTarget::~BrittleTarget() {
  Loop_.stop();
  Thread_.join();
}

asio::awaitable<void> BrittleTarget::accept() {
  while (true) {
    error_code Cause;
    auto Caller = std::make_shared<Socket>(co_await Acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, Cause)));
    if (Cause)
      co_return;
    if (Clock::now() < DownUntil_)
      continue;
    Callers_.insert(Caller);
    asio::co_spawn(Loop_, serve(Caller), asio::detached);
  }
}

std::string BrittleTarget::reply(std::string_view Status,
                                 std::string_view Lines,
                                 const std::string &RequestId) const {
  std::string Text = "HTTP/1.1 " + std::string(Status) +
                     "\r\nX-Request-Id: " + RequestId +
                     "\r\nContent-Length: 0\r\n" + std::string(Lines);
  if (IsBrittle_)
    Text += "Server-Brittle: " + std::to_string(Plan_.Rejections_) + "\r\n";
  return Text + "\r\n";
}

asio::awaitable<void> BrittleTarget::serve(std::shared_ptr<Socket> Caller) {
  error_code Cause;
  std::string Buffer;
  while (true) {
    std::size_t Size = co_await asio::async_read_until(
        *Caller, asio::dynamic_buffer(Buffer), "\r\n\r\n",
        asio::redirect_error(asio::use_awaitable, Cause));
    if (Cause)
      break;
    constexpr std::string_view Name = "X-Request-Id: ";
    std::string Head = Buffer.substr(0, Size);
    Buffer.erase(0, Size);
    auto At = Head.find(Name);
    std::string RequestId;
    if (At != std::string::npos)
      RequestId = Head.substr(At + Name.size(),
                              Head.find("\r\n", At) - At - Name.size());
    if (IsBrittle_ && BrittleSince_ == Clock::time_point{})
      BrittleSince_ = Clock::now();
    int Lifetime = Lifetime_;
    bool IsRejected = rejects();
    if (Lifetime != Lifetime_)
      break;
    if (!IsRejected) {
      bool IsDone = co_await work();
      if (!IsDone)
        break;
    }
    std::string Text =
        IsRejected ? reply("503 Busy", "X-Not-Executed: 1\r\n", RequestId)
                   : reply("200 OK", "X-Server-Seal: seal-of-" + Id_ + "\r\n",
                           RequestId);
    co_await asio::async_write(
        *Caller, asio::buffer(Text),
        asio::redirect_error(asio::use_awaitable, Cause));
  }
  Callers_.erase(Caller);
}

bool BrittleTarget::rejects() {
  Clock::time_point Now = Clock::now();
  bool IsInForce = IsBrittle_ && Now >= BrittleSince_ + Plan_.Notice_;
  int Waiting = IsInForce ? Plan_.BrittleWaiting_ : Plan_.UsualWaiting_;
  if (Active_ < Plan_.Slots_ || std::ssize(Queue_) < Waiting)
    return false;
  Rejected_.push_back(Now);
  while (Rejected_.front() + RejectionWindow < Now)
    Rejected_.pop_front();
  if (IsInForce && std::ssize(Rejected_) > Plan_.Rejections_)
    fall();
  return true;
}

asio::awaitable<bool> BrittleTarget::work() {
  int Lifetime = Lifetime_;
  error_code Ignored;
  asio::steady_timer Timer(Loop_);
  if (Active_ >= Plan_.Slots_) {
    Timer.expires_at(Clock::time_point::max());
    Queue_.push_back(&Timer);
    co_await Timer.async_wait(
        asio::redirect_error(asio::use_awaitable, Ignored));
  }
  if (Lifetime != Lifetime_)
    co_return false;
  ++Active_;
  Timer.expires_after(Plan_.Work_);
  co_await Timer.async_wait(asio::redirect_error(asio::use_awaitable, Ignored));
  if (Lifetime != Lifetime_)
    co_return false;
  --Active_;
  ++Served_;
  if (!Queue_.empty()) {
    Queue_.front()->cancel();
    Queue_.pop_front();
  }
  co_return true;
}

void BrittleTarget::fall() {
  ++Falls_;
  ++Lifetime_;
  Active_ = 0;
  Rejected_.clear();
  DownUntil_ = Clock::now() + Plan_.Down_;
  for (asio::steady_timer *Waiting : Queue_)
    Waiting->cancel();
  Queue_.clear();
  error_code Ignored;
  for (const auto &Caller : Callers_)
    Caller->close(Ignored);
}

} // namespace anvil
