#include "Http/ServerConnection.h"

#include "Http/AcknowledgedBytes.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace anvil {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/// The size of the first read of a request.
static constexpr std::size_t FirstReadBytes = 4096;

/// The smallest read of the rest of a request.
static constexpr std::size_t MinReadBytes = 512;

/// What a connection may hold besides a body without being counted, so that
/// small requests cost nothing.
static constexpr std::size_t UncountedBytes = 8 * 1024;

/// The maximum number of responses after the close was requested, so that a
/// caller that keeps sending can't keep the connection open.
static constexpr std::size_t MaxResponsesSinceEnd = 32;

/// How often reads that exceed their timeout are cancelled again.
static constexpr Duration CancelPeriod = std::chrono::milliseconds(50);

/// How often the caller's progress is checked within the time that it may read
/// nothing.
static constexpr int ProgressChecks = 16;

/// How long a caller may take to close its side after the last response.
static constexpr Duration LingerTime = std::chrono::seconds(1);

ServerConnection::ServerConnection(tcp::socket Socket,
                                   const HttpServerLimits &Limits)
    : Stream_(std::move(Socket)), ReadTimer_(Stream_.get_executor()),
      UnreadTime_(Limits.UnreadTime_), WriteTimer_(Stream_.get_executor()),
      Share_(Limits.Budget_, [this] { giveWay(); }) {}

void ServerConnection::close() {
  WriteTimer_.cancel();
  error_code Ignored;
  Stream_.socket().close(Ignored);
}

void ServerConnection::end(ConnectionEnding When) {
  Ending_ = std::max(Ending_, When);
  bool IsWaiting = Phase_ == ConnectionPhase::Idle;
  if (Ending_ == ConnectionEnding::WhenIdle && IsWaiting)
    Stream_.cancel();
}

void ServerConnection::setReadTimeout(Duration Time) {
  ++ReadTimeoutId_;
  cancelReadsAfter(Time);
}

void ServerConnection::cancelReadsAfter(Duration Time) {
  ReadTimer_.expires_after(Time);
  ReadTimer_.async_wait(
      [Self = shared_from_this(), Limit = ReadTimeoutId_](error_code Cause) {
        if (Cause || Limit != Self->ReadTimeoutId_)
          return;
        Self->ReadTimedOut_ = true;
        Self->Stream_.cancel();
        // A composed read that is between two of its steps misses a cancel.
        Self->cancelReadsAfter(CancelPeriod);
      });
}

void ServerConnection::clearReadTimeout() {
  ++ReadTimeoutId_;
  ReadTimedOut_ = false;
  ReadTimer_.cancel();
}

void ServerConnection::beginWrite() {
  IsWriting_ = true;
  WriteBeganAt_ = BootClock::now();
  ProgressAt_ = WriteBeganAt_;
  IsUnread_ = false;
  // One timer serves many writes, since most of them end at once.
  if (!std::exchange(IsSupervised_, true))
    superviseWrites();
}

void ServerConnection::superviseWrites() {
  WriteTimer_.expires_after(WriteCancelled_ ? CancelPeriod
                                            : UnreadTime_ / ProgressChecks);
  WriteTimer_.async_wait([Self = shared_from_this()](error_code Cause) {
    Self->IsSupervised_ = !Cause && Self->IsWriting_;
    if (!Self->IsSupervised_)
      return;
    Self->checkProgress();
    Self->superviseWrites();
  });
}

void ServerConnection::checkProgress() {
  TimePoint Now = BootClock::now();
  std::uint64_t Acknowledged =
      acknowledgedBytes(Stream_.socket().native_handle());
  bool HasProgress = std::exchange(Acknowledged_, Acknowledged) != Acknowledged;
  if (Now - WriteBeganAt_ < UnreadTime_ / ProgressChecks)
    return;
  IsUnread_ = !HasProgress;
  if (HasProgress)
    ProgressAt_ = Now;
  else if (UnreadHandler_)
    UnreadHandler_();
  if (Now - ProgressAt_ >= UnreadTime_)
    MustBeRead_ = true;
  if (MustBeRead_)
    giveWayIfUnread();
}

void ServerConnection::giveWayIfUnread() {
  MustBeRead_ = true;
  if (!IsUnread_)
    return;
  WriteCancelled_ = true;
  Stream_.cancel();
}

void ServerConnection::endWrite() {
  IsWriting_ = false;
  IsUnread_ = false;
  if (!WriteCancelled_)
    return;
  KeepAlive_ = false;
  // What is left in the socket's buffer would be kept for a caller that doesn't
  // read it.
  error_code Ignored;
  Stream_.socket().set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

void ServerConnection::limitBuffer(std::size_t HeadBytes) {
  Buffer_.max_size(std::max(HeadBytes, Buffer_.size()) + FirstReadBytes);
}

bool ServerConnection::countBuffers() {
  std::size_t Bytes = Buffer_.capacity() + HeadBytes_;
  if (Bytes <= UncountedBytes)
    Bytes = 0;
  return !GaveWay_ && (Bytes == Share_.bytes() || Share_.resize(Bytes));
}

asio::awaitable<error_code> ServerConnection::receive() {
  std::size_t Room = Buffer_.max_size() - Buffer_.size();
  if (Room == 0)
    co_return boost::beast::http::error::buffer_overflow;
  std::size_t Free = Buffer_.capacity() - Buffer_.size();
  auto Space = Buffer_.prepare(std::min(Room, std::max(Free, MinReadBytes)));
  if (!countBuffers())
    co_return asio::error::no_memory;
  error_code Cause;
  std::size_t Read = co_await Stream_.async_read_some(
      Space, asio::redirect_error(asio::use_awaitable, Cause));
  Buffer_.commit(Read);
  if (GaveWay_)
    Cause = asio::error::no_memory;
  else if (ReadTimedOut_)
    Cause = boost::beast::error::timeout;
  co_return Cause;
}

bool ServerConnection::countHead(std::size_t Bytes) {
  HeadBytes_ = Bytes;
  return countBuffers();
}

void ServerConnection::giveWay() {
  GaveWay_ = true;
  setReadTimeout(Duration::zero());
}

void ServerConnection::keepBodyShare(std::unique_ptr<BufferShare> Share) {
  BodyShare_ = std::move(Share);
}

bool ServerConnection::retainRequest() {
  return Share_.bytes() == 0 || (countBuffers() && Share_.retain());
}

void ServerConnection::releaseRequest() {
  if (Buffer_.capacity() > FirstReadBytes)
    Buffer_.shrink_to_fit();
  Share_.release();
  BodyShare_.reset();
  HeadBytes_ = 0;
  GaveWay_ = false;
  MustBeRead_ = false;
}

bool ServerConnection::hasInput() {
  error_code Cause;
  return Buffer_.size() > 0 || Stream_.socket().available(Cause) > 0;
}

bool ServerConnection::decideKeepAlive() {
  if (Ending_ == ConnectionEnding::None)
    return KeepAlive_;
  if (!hasInput() || ++ResponsesSinceEnd_ >= MaxResponsesSinceEnd)
    KeepAlive_ = false;
  return KeepAlive_;
}

/// Removes empty lines, which may precede a request.
static void skipEmptyLines(boost::beast::flat_buffer &Buffer) {
  auto Text = [&] {
    return std::string_view(static_cast<const char *>(Buffer.data().data()),
                            Buffer.size());
  };
  while (Text().starts_with("\r\n"))
    Buffer.consume(2);
}

asio::awaitable<bool> ServerConnection::awaitRequest(Duration IdleTime) {
  setReadTimeout(IdleTime);
  error_code Cause;
  skipEmptyLines(Buffer_);
  while (!Cause && Buffer_.size() == 0) {
    // A request may have arrived just as the wait was cancelled.
    bool IsEnded = Ending_ == ConnectionEnding::WhenIdle || ReadTimedOut_;
    if (IsEnded && !hasInput())
      break;
    std::size_t Read = co_await Stream_.async_read_some(
        Buffer_.prepare(FirstReadBytes),
        asio::redirect_error(asio::use_awaitable, Cause));
    Buffer_.commit(Read);
    skipEmptyLines(Buffer_);
    if (Cause == asio::error::operation_aborted)
      Cause = {};
  }
  clearReadTimeout();
  co_return Buffer_.size() > 0;
}

void ServerConnection::watchForDisconnect() {
  auto Watch = [Self = shared_from_this()](error_code Cause) {
    if (Cause || Self->Phase_ != ConnectionPhase::Handling)
      return;
    char Byte = 0;
    error_code Problem;
    Self->Stream_.socket().receive(asio::buffer(&Byte, 1),
                                   tcp::socket::message_peek, Problem);
    if (!Problem)
      return;
    Self->CallerDisconnected_ = true;
    if (auto Call = std::exchange(Self->DisconnectHandler_, {}))
      Call();
  };
  Stream_.socket().async_wait(tcp::socket::wait_read, std::move(Watch));
}

asio::awaitable<void> ServerConnection::linger() {
  Phase_ = ConnectionPhase::Lingering;
  error_code Cause;
  Stream_.socket().cancel(Cause);
  Stream_.socket().shutdown(tcp::socket::shutdown_send, Cause);
  setReadTimeout(LingerTime);
  while (!Cause && !ReadTimedOut_) {
    Buffer_.clear();
    co_await Stream_.async_read_some(
        Buffer_.prepare(FirstReadBytes),
        asio::redirect_error(asio::use_awaitable, Cause));
  }
  clearReadTimeout();
}

} // namespace anvil
