#include "Http/ServerConnection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// The bytes that are asked for at the start of a request.
static constexpr std::size_t FirstReadBytes = 4096;

/// The answers that a connection gives at the most once its end is asked for.
static constexpr std::size_t MostAnswersSinceEnd = 32;

/// How often reads are cancelled that have gone on beyond their limit.
static constexpr Duration CancelPeriod = std::chrono::milliseconds(50);

/// How long a caller may take to close its side after the last answer.
static constexpr Duration LingerTime = std::chrono::seconds(1);

ServerConnection::ServerConnection(tcp::socket Socket)
    : Stream_(std::move(Socket)), ReadTimer_(Stream_.get_executor()) {}

void ServerConnection::close() {
  error_code Ignored;
  Stream_.socket().close(Ignored);
}

void ServerConnection::end(ConnectionEnding When) {
  Ending_ = std::max(Ending_, When);
  bool IsWaiting = Phase_ == ConnectionPhase::Idle;
  if (Ending_ == ConnectionEnding::WhenIdle && IsWaiting)
    Stream_.cancel();
}

void ServerConnection::limitRead(Duration Time) {
  ++ReadLimit_;
  cancelReadsAfter(Time);
}

void ServerConnection::cancelReadsAfter(Duration Time) {
  ReadTimer_.expires_after(Time);
  ReadTimer_.async_wait(
      [Self = shared_from_this(), Limit = ReadLimit_](error_code Cause) {
        if (Cause || Limit != Self->ReadLimit_)
          return;
        Self->ReadTimedOut_ = true;
        Self->Stream_.cancel();
        // A read between two of its steps isn't reached by a cancel.
        Self->cancelReadsAfter(CancelPeriod);
      });
}

void ServerConnection::clearReadLimit() {
  ++ReadLimit_;
  ReadTimedOut_ = false;
  ReadTimer_.cancel();
}

bool ServerConnection::hasInput() {
  error_code Cause;
  return Buffer_.size() > 0 || Stream_.socket().available(Cause) > 0;
}

bool ServerConnection::settleKeepAlive() {
  if (Ending_ == ConnectionEnding::None)
    return KeepAlive_;
  if (!hasInput() || ++AnswersSinceEnd_ >= MostAnswersSinceEnd)
    KeepAlive_ = false;
  return KeepAlive_;
}

/// Takes empty lines away, which may stand before a request.
static void dropEmptyLines(boost::beast::flat_buffer &Buffer) {
  auto Text = [&] {
    return std::string_view(static_cast<const char *>(Buffer.data().data()),
                            Buffer.size());
  };
  while (Text().starts_with("\r\n"))
    Buffer.consume(2);
}

asio::awaitable<bool> ServerConnection::awaitRequest(Duration IdleTime) {
  limitRead(IdleTime);
  error_code Cause;
  dropEmptyLines(Buffer_);
  while (!Cause && Buffer_.size() == 0) {
    // A request may have come just as the wait was ended.
    bool IsEnded = Ending_ == ConnectionEnding::WhenIdle || ReadTimedOut_;
    if (IsEnded && !hasInput())
      break;
    std::size_t Read = co_await Stream_.async_read_some(
        Buffer_.prepare(FirstReadBytes),
        asio::redirect_error(asio::use_awaitable, Cause));
    Buffer_.commit(Read);
    dropEmptyLines(Buffer_);
    if (Cause == asio::error::operation_aborted)
      Cause = {};
  }
  clearReadLimit();
  co_return Buffer_.size() > 0;
}

void ServerConnection::watchCaller() {
  auto Watch = [Self = shared_from_this()](error_code Cause) {
    if (Cause || Self->Phase_ != ConnectionPhase::Handling)
      return;
    char Byte = 0;
    error_code Problem;
    Self->Stream_.socket().receive(asio::buffer(&Byte, 1),
                                   tcp::socket::message_peek, Problem);
    if (!Problem)
      return;
    Self->CallerGone_ = true;
    if (auto Call = std::exchange(Self->GoneCall_, {}))
      Call();
  };
  Stream_.socket().async_wait(tcp::socket::wait_read, std::move(Watch));
}

asio::awaitable<void> ServerConnection::linger() {
  Phase_ = ConnectionPhase::Lingering;
  error_code Cause;
  Stream_.socket().cancel(Cause);
  Stream_.socket().shutdown(tcp::socket::shutdown_send, Cause);
  limitRead(LingerTime);
  while (!Cause && !ReadTimedOut_) {
    Buffer_.clear();
    co_await Stream_.async_read_some(
        Buffer_.prepare(FirstReadBytes),
        asio::redirect_error(asio::use_awaitable, Cause));
  }
  clearReadLimit();
}

} // namespace anvil
